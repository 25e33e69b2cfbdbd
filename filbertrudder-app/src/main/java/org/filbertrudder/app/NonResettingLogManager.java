package org.filbertrudder.app;

import java.util.logging.LogManager;

/** Keeps log handlers open during shutdown; the standard log manager closes them immediately. */
public final class NonResettingLogManager extends LogManager {

    @Override
    public void reset() {
        // The JDK calls this in a shutdown hook while the instance still finishes its requests.
    }
}
