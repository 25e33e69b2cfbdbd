package org.filbertrudder.policy.freshness;

/**
 * Decides whether this instance's copy of the operators' state is fresh enough to check API keys
 * against it.
 *
 * <p>The age of the state is counted from the time of the request whose response confirmed it, not
 * from the time of the response. If the wall clock jumps relative to the steady clock, the process
 * may have been suspended, so the state counts as outdated until it is confirmed again.
 */
public final class StateFreshness {

    private volatile long mMaxAgeMs;
    private final long mMaxClockGapMs;
    private volatile ClockReading mConfirmedAsOf;

    /**
     * Creates the rule for a state that has not been confirmed yet.
     *
     * @param maxAgeMs the age from which on the state is outdated, in milliseconds
     * @param maxClockGapMs the maximum difference between the progress of the two clocks that does
     *     not count as a jump, in milliseconds
     */
    public StateFreshness(long maxAgeMs, long maxClockGapMs) {
        mMaxAgeMs = maxAgeMs;
        mMaxClockGapMs = maxClockGapMs;
    }

    /** Sets the age from which on the state is outdated, in milliseconds. */
    public void setMaxAgeMs(long maxAgeMs) {
        mMaxAgeMs = maxAgeMs;
    }

    /**
     * Records that the state is complete as of a time; has no effect if a clock has jumped since
     * then or a later confirmation is valid.
     *
     * @param asOf the time of the request whose response confirmed the state
     */
    public void confirm(ClockReading asOf, ClockReading now) {
        boolean clockJumped = now.clockGapMs(asOf) > mMaxClockGapMs;
        if (clockJumped) {
            return;
        }
        ClockReading confirmed = mConfirmedAsOf;
        boolean noValidConfirmation =
                confirmed == null || now.clockGapMs(confirmed) > mMaxClockGapMs;
        if (noValidConfirmation || asOf.steadyMs() > confirmed.steadyMs()) {
            mConfirmedAsOf = asOf;
        }
    }

    /**
     * Returns the age of the state, in milliseconds; {@link Long#MAX_VALUE} if the state is not
     * confirmed or a clock has jumped since.
     */
    public long ageMs(ClockReading now) {
        ClockReading confirmed = mConfirmedAsOf;
        if (confirmed == null || now.clockGapMs(confirmed) > mMaxClockGapMs) {
            return Long.MAX_VALUE;
        }
        return now.steadyMs() - confirmed.steadyMs();
    }

    /** Returns whether the state is fresh enough to check API keys. */
    public boolean isFresh(ClockReading now) {
        return ageMs(now) < mMaxAgeMs;
    }

    /** Returns whether the state was confirmed by a request sent at or after the given time. */
    public boolean isConfirmedSince(ClockReading since, ClockReading now) {
        ClockReading confirmed = mConfirmedAsOf;
        return confirmed != null
                && now.clockGapMs(confirmed) <= mMaxClockGapMs
                && confirmed.steadyMs() >= since.steadyMs();
    }
}
