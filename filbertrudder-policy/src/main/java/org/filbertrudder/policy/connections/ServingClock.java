package org.filbertrudder.policy.connections;

/**
 * Counts the time in which the process serves, so that callers are not charged for the time for
 * which it was held up.
 *
 * <p>The owner ticks at an interval. What a tick comes late by beyond the longest interval does not
 * count.
 */
public final class ServingClock {

    private final long mMaxIntervalMs;
    private long mLastTickMs;
    private long mHeldUpMs;

    /**
     * Creates a clock.
     *
     * @param maxIntervalMs the longest time between two ticks that counts in full, in milliseconds
     * @param steadyMs the present reading of the steady clock, in milliseconds
     */
    public ServingClock(long maxIntervalMs, long steadyMs) {
        mMaxIntervalMs = maxIntervalMs;
        mLastTickMs = steadyMs;
    }

    /** Records that the process serves at this reading of the steady clock. */
    public void tick(long steadyMs) {
        mHeldUpMs += Math.max(0, steadyMs - mLastTickMs - mMaxIntervalMs);
        mLastTickMs = steadyMs;
    }

    /** Returns the serving time at a reading of the steady clock, in milliseconds. */
    public long timeMs(long steadyMs) {
        return Math.min(steadyMs, mLastTickMs + mMaxIntervalMs) - mHeldUpMs;
    }
}
