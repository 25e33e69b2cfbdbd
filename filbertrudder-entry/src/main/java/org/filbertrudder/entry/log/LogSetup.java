package org.filbertrudder.entry.log;

import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Configures the handlers, level and format of the root and product loggers. */
public final class LogSetup {

    private static final Logger ROOT_LOGGER = Logger.getLogger("");
    private static final Logger PRODUCT_LOGGER = Logger.getLogger("filbertrudder");

    private LogSetup() {}

    /**
     * Writes all log lines to standard error in the given format, without blocking the calling
     * threads.
     */
    public static void apply(Level level, Format format) {
        apply(level, new BoundedAsyncHandler(System.err, format.createFormatter()));
    }

    /** Writes all log lines to standard output as JSON, without blocking the calling threads. */
    public static void applyNonBlocking(Level level) {
        apply(level, new BoundedAsyncHandler(System.out, new JsonLineFormatter()));
    }

    private static void apply(Level level, BoundedAsyncHandler asyncHandler) {
        for (Handler handler : ROOT_LOGGER.getHandlers()) {
            ROOT_LOGGER.removeHandler(handler);
        }
        asyncHandler.setLevel(Level.ALL);
        ROOT_LOGGER.addHandler(asyncHandler);
        ROOT_LOGGER.setLevel(Level.WARNING);
        PRODUCT_LOGGER.setLevel(level);
    }

    /** Flushes all handlers; the asynchronous one waits a limited time for its queued lines. */
    public static void flush() {
        for (Handler handler : ROOT_LOGGER.getHandlers()) {
            handler.flush();
        }
    }

    /** Defines the formats of log lines. */
    public enum Format {
        TEXT,
        JSON;

        Formatter createFormatter() {
            return this == JSON ? new JsonLineFormatter() : new TextLineFormatter();
        }
    }
}
