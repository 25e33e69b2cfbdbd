package org.filbertrudder.entry.log;

import java.lang.System.Logger.Level;

/** Logs short sentences of one part of the program, with the part's prefix and named values. */
public final class PartLog {

    private final System.Logger mLogger;
    private final String mPrefix;

    private PartLog(String part) {
        mLogger = System.getLogger("filbertrudder." + part);
        mPrefix = part + ": ";
    }

    /** Returns the log of a part. */
    public static PartLog of(String part) {
        return new PartLog(part);
    }

    /** Logs a detail. */
    public void debug(String sentence, Field... fields) {
        write(Level.DEBUG, sentence, fields);
    }

    /** Logs an event of normal operation. */
    public void info(String sentence, Field... fields) {
        write(Level.INFO, sentence, fields);
    }

    /** Logs an event that an operator may have to act on. */
    public void warn(String sentence, Field... fields) {
        write(Level.WARNING, sentence, fields);
    }

    private void write(Level level, String sentence, Field... fields) {
        mLogger.log(level, mPrefix + sentence, (Object[]) fields);
    }
}
