package org.filbertrudder.standins;

/** Holds the faults that the store shows at present. */
final class StoreFaults {

    private Mode mMode = Mode.UP;
    private long mDelayMs;
    private int mLoseAnswers;

    void set(Mode mode, long delayMs, int loseAnswers) {
        mMode = mode;
        mDelayMs = delayMs;
        mLoseAnswers = loseAnswers;
    }

    Mode mode() {
        return mMode;
    }

    long delayMs() {
        return mDelayMs;
    }

    /** Returns whether the answer to this write gets lost after the write took effect. */
    boolean losesAnswer() {
        if (mLoseAnswers == 0) {
            return false;
        }
        mLoseAnswers--;
        return true;
    }

    /** Lists how the store behaves. */
    enum Mode {
        UP,
        OUT,
        HANGING
    }
}
