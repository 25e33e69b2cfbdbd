package org.filbertrudder.policy.orders;

/**
 * Limits the rate of orders that make engines fetch weights.
 *
 * <p>Each sender of orders has an equal part of the rate. A new sender waits for a full interval
 * first, so that successive senders together do not exceed the rate.
 */
public final class WeightFetchLimiter {

    private static final double MS_PER_MINUTE = 60_000;

    private double mFetchesPerMs;
    private long mIntervalStartMs = Long.MIN_VALUE / 2;

    /** Sets the rate of this sender, in weight fetches per minute. */
    public void setRate(double fetchesPerMinute) {
        mFetchesPerMs = fetchesPerMinute / MS_PER_MINUTE;
    }

    /** Allows the next fetch after a full interval. */
    public void reset(long nowMs) {
        mIntervalStartMs = nowMs;
    }

    /** Permits one fetch if the interval has passed; returns whether it was permitted. */
    public boolean tryAcquire(long nowMs) {
        if (nowMs - mIntervalStartMs < 1 / mFetchesPerMs) {
            return false;
        }
        mIntervalStartMs = nowMs;
        return true;
    }
}
