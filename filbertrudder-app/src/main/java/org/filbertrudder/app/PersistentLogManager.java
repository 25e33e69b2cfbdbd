package org.filbertrudder.app;

import java.util.logging.LogManager;

/** Keeps the log open while the process shuts down; the standard one closes it at once. */
public final class PersistentLogManager extends LogManager {

    @Override
    public void reset() {
        // Called by the standard shutdown hook, while the instance still finishes requests.
    }
}
