package org.filbertrudder.app;

import java.util.logging.LogManager;

/** Keeps the log open while the process shuts down; the standard one closes it at once. */
public final class PersistentLogManager extends LogManager {

    private static final String PROPERTY = "java.util.logging.manager";

    /** Makes this the log manager of the process; must be called before anything is logged. */
    static void install() {
        System.setProperty(PROPERTY, PersistentLogManager.class.getName());
    }

    @Override
    public void reset() {
        // Called by the standard shutdown hook, while the instance still finishes requests.
    }
}
