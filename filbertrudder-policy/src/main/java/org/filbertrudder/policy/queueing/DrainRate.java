package org.filbertrudder.policy.queueing;

import java.util.OptionalDouble;

/**
 * Measures how fast a non-empty queue drains, to estimate the wait of new requests.
 *
 * <p>Only time during which requests wait is measured. At other times the throughput reflects the
 * demand, which after a period of low load or a restart is far below the capacity.
 */
public final class DrainRate {

    /** The time constant of the moving average, in milliseconds; load changes within seconds. */
    private static final double TIME_CONSTANT_MS = 2_000;

    /** The minimum observed time for an estimate, in ms; covers a few iterations of an engine. */
    private static final double MIN_OBSERVED_MS = 300;

    private double mStartedTokens;
    private double mObservedMs;
    private long mUpdatedMs;
    private boolean mWaiting;

    /** Records whether requests are waiting from now on. */
    public void setWaiting(boolean waiting, long nowMs) {
        update(nowMs);
        mWaiting = waiting;
    }

    /** Records the start of a request that has waited. */
    public void recordStart(long tokens, long nowMs) {
        update(nowMs);
        mStartedTokens += tokens;
    }

    /**
     * Returns the estimated time until the tokens ahead of a new request have started, in ms.
     *
     * <p>Returns 0 until enough time has been observed. If no request has started in the observed
     * time, the queue is expected to be blocked for the same time again.
     */
    public long waitMs(long tokensAhead, long nowMs) {
        update(nowMs);
        if (mObservedMs < MIN_OBSERVED_MS) {
            return 0;
        }
        if (mStartedTokens < 1) {
            return (long) mObservedMs;
        }
        return (long) (tokensAhead * mObservedMs / mStartedTokens);
    }

    /** Returns the drain rate in tokens per millisecond; empty until enough time was observed. */
    public OptionalDouble tokensPerMs(long nowMs) {
        update(nowMs);
        return mObservedMs < MIN_OBSERVED_MS
                ? OptionalDouble.empty()
                : OptionalDouble.of(mStartedTokens / mObservedMs);
    }

    private void update(long nowMs) {
        if (mWaiting && nowMs > mUpdatedMs) {
            double decay = Math.exp((mUpdatedMs - nowMs) / TIME_CONSTANT_MS);
            mStartedTokens *= decay;
            mObservedMs = mObservedMs * decay + TIME_CONSTANT_MS * (1 - decay);
        }
        mUpdatedMs = nowMs;
    }
}
