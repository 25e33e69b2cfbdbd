package org.filbertrudder.policy.queueing;

/**
 * Measures how fast a queue drains while requests wait in it, from which new waits are estimated.
 *
 * <p>Only the time in which something waited counts: what is served at other times shows the
 * demand, which after a quiet spell or a restart is far below what can be served.
 */
final class DrainRate {

    /** The span over which the rate is averaged, in milliseconds; load changes within seconds. */
    private static final double SMOOTHING_MS = 2_000;

    /** The observed time below which no estimate is made; a few turns of an engine, in ms. */
    private static final double MIN_OBSERVED_MS = 300;

    private double mStartedTokens;
    private double mObservedMs;
    private long mUpdatedMs;
    private boolean mWaiting;

    /** Notes whether requests wait from now on. */
    void setWaiting(boolean waiting, long nowMs) {
        update(nowMs);
        mWaiting = waiting;
    }

    /** Notes that a request which has waited starts. */
    void noteStart(long tokens, long nowMs) {
        update(nowMs);
        mStartedTokens += tokens;
    }

    /**
     * Returns how long it takes until the tokens before a new request have started, in ms.
     *
     * <p>It is 0 as long as too little is known. A queue from which nothing starts is expected to
     * stand still for as long again.
     */
    long waitMs(long tokensAhead, long nowMs) {
        update(nowMs);
        if (mObservedMs < MIN_OBSERVED_MS) {
            return 0;
        }
        if (mStartedTokens < 1) {
            return (long) mObservedMs;
        }
        return (long) (tokensAhead * mObservedMs / mStartedTokens);
    }

    private void update(long nowMs) {
        if (mWaiting && nowMs > mUpdatedMs) {
            double decay = Math.exp((mUpdatedMs - nowMs) / SMOOTHING_MS);
            mStartedTokens *= decay;
            mObservedMs = mObservedMs * decay + SMOOTHING_MS * (1 - decay);
        }
        mUpdatedMs = nowMs;
    }
}
