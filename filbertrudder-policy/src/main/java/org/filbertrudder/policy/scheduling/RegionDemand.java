package org.filbertrudder.policy.scheduling;

/** Measures what the region's own callers ask for and how long their requests wait. */
final class RegionDemand {

    private static final double RETAINED_WAIT_WEIGHT = 0.9;
    private static final double WAIT_DECAY_MS = 1_000;

    private final MovingRate mTokens = new MovingRate();
    private final MovingRate mStarts = new MovingRate();
    private double mWaitMs;
    private long mWaitUpdatedMs;

    /** Records a request that arrives for the first time. */
    void recordArrival(double tokens, long nowMs) {
        mTokens.record(tokens, nowMs);
        mStarts.record(1, nowMs);
    }

    /** Records how long a request has waited for its decision. */
    void recordWait(double waitedMs, long nowMs) {
        mWaitMs = RETAINED_WAIT_WEIGHT * waitMs(nowMs) + (1 - RETAINED_WAIT_WEIGHT) * waitedMs;
        mWaitUpdatedMs = nowMs;
    }

    double tokensPerMs(long nowMs) {
        return mTokens.perMs(nowMs);
    }

    double startsPerSecond(long nowMs) {
        return mStarts.perMs(nowMs) * 1_000;
    }

    /** Returns the mean wait of recent decisions, in ms; it decays while nothing is decided. */
    double waitMs(long nowMs) {
        return mWaitMs * Math.exp((mWaitUpdatedMs - nowMs) / WAIT_DECAY_MS);
    }
}
