package org.filbertrudder.standins;

/** Holds the faults that the simulated store currently injects. */
final class StoreFaults {

    private Mode mMode = Mode.UP;
    private long mDelayMs;
    private int mResponsesToDrop;

    void set(Mode mode, long delayMs, int responsesToDrop) {
        mMode = mode;
        mDelayMs = delayMs;
        mResponsesToDrop = responsesToDrop;
    }

    Mode mode() {
        return mMode;
    }

    long delayMs() {
        return mDelayMs;
    }

    /** Returns whether to drop the response to this write, which has already taken effect. */
    boolean shouldDropResponse() {
        if (mResponsesToDrop == 0) {
            return false;
        }
        mResponsesToDrop--;
        return true;
    }

    /** Lists the availability states of the store. */
    enum Mode {
        /** Processes calls, after the configured delay. */
        UP,
        /** Closes the connection of each call. */
        OUT,
        /** Accepts calls without responding. */
        HANGING
    }
}
