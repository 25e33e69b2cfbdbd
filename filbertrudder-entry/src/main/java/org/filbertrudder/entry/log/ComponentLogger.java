package org.filbertrudder.entry.log;

import java.lang.System.Logger.Level;

/** Logs messages of one component, prefixed with the component's name, with named fields. */
public final class ComponentLogger {

    private final System.Logger mLogger;
    private final String mPrefix;

    private ComponentLogger(String component) {
        mLogger = System.getLogger("filbertrudder." + component);
        mPrefix = component + ": ";
    }

    /** Returns the logger of the component with the given name. */
    public static ComponentLogger of(String component) {
        return new ComponentLogger(component);
    }

    /** Logs a message that helps to diagnose a problem. */
    public void debug(String message, LogField... fields) {
        log(Level.DEBUG, message, fields);
    }

    /** Logs an event of normal operation. */
    public void info(String message, LogField... fields) {
        log(Level.INFO, message, fields);
    }

    /** Logs an event that may require action by an operator. */
    public void warn(String message, LogField... fields) {
        log(Level.WARNING, message, fields);
    }

    private void log(Level level, String message, LogField... fields) {
        mLogger.log(level, mPrefix + message, (Object[]) fields);
    }
}
