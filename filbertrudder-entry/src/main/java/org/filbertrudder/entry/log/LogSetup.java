package org.filbertrudder.entry.log;

import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Configures the level and format of the log. */
public final class LogSetup {

    private static final Logger ROOT = Logger.getLogger("");
    private static final Logger OWN = Logger.getLogger("filbertrudder");

    private LogSetup() {}

    /** Sends all log lines to standard error in the format. */
    public static void apply(Level level, Format format) {
        for (Handler handler : ROOT.getHandlers()) {
            ROOT.removeHandler(handler);
        }
        ConsoleHandler console = new ConsoleHandler();
        console.setLevel(Level.ALL);
        console.setFormatter(format.formatter());
        ROOT.addHandler(console);
        ROOT.setLevel(Level.WARNING);
        OWN.setLevel(level);
    }

    /** Sends all log lines to standard output as JSON, without ever blocking who logs. */
    public static void applyBounded(Level level) {
        for (Handler handler : ROOT.getHandlers()) {
            ROOT.removeHandler(handler);
        }
        BoundedLineHandler lines = new BoundedLineHandler(System.out, new JsonLineFormatter());
        lines.setLevel(Level.ALL);
        ROOT.addHandler(lines);
        ROOT.setLevel(Level.WARNING);
        OWN.setLevel(level);
    }

    /** Waits for a moment until the lines so far are written. */
    public static void flush() {
        for (Handler handler : ROOT.getHandlers()) {
            handler.flush();
        }
    }

    /** Lists the formats of log lines. */
    public enum Format {
        TEXT,
        JSON;

        Formatter formatter() {
            return this == JSON ? new JsonLineFormatter() : new TextLineFormatter();
        }
    }
}
