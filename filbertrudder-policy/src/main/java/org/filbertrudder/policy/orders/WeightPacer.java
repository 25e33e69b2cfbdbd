package org.filbertrudder.policy.orders;

/**
 * Spaces the orders that make engines fetch weights.
 *
 * <p>Each giver has an equal part of the rate. A new giver starts without any credit, so that
 * changes of the giver do not add up.
 */
public final class WeightPacer {

    private static final double MS_PER_MINUTE = 60_000;

    private double mLoadsPerMs;
    private long mNextMs;

    /** Sets the rate of this giver, in loads per minute. */
    public void setRate(double loadsPerMinute) {
        mLoadsPerMs = loadsPerMinute / MS_PER_MINUTE;
    }

    /** Starts anew without credit. */
    public void restart(long nowMs) {
        mNextMs = nowMs + intervalMs();
    }

    /** Takes one load if it is due. */
    public boolean tryTake(long nowMs) {
        if (nowMs < mNextMs) {
            return false;
        }
        mNextMs = nowMs + intervalMs();
        return true;
    }

    private long intervalMs() {
        return (long) Math.ceil(1 / mLoadsPerMs);
    }
}
