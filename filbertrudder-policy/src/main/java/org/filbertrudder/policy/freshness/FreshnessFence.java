package org.filbertrudder.policy.freshness;

/**
 * Tells whether the operators' state known here is new enough to trust keys by it.
 *
 * <p>Knowledge is as old as the question whose answer confirmed it, never as the answer. A jump of
 * the time of day against the steady clock may mean that the process was suspended, so it ends the
 * trust until the next confirmation.
 */
public final class FreshnessFence {

    private volatile long mLimitMs;
    private final long mMaxClockGapMs;
    private volatile Moment mAskedAt;

    /**
     * Creates a fence that is closed.
     *
     * @param limitMs the greatest age that is trusted, in milliseconds
     * @param maxClockGapMs the greatest difference between the clocks that is no jump, in
     *     milliseconds
     */
    public FreshnessFence(long limitMs, long maxClockGapMs) {
        mLimitMs = limitMs;
        mMaxClockGapMs = maxClockGapMs;
    }

    /** Changes the greatest age that is trusted, in milliseconds. */
    public void setLimitMs(long limitMs) {
        mLimitMs = limitMs;
    }

    /** Notes that the state known is complete as of the moment; an older one changes nothing. */
    public void confirm(Moment askedAt, Moment now) {
        boolean jumped = now.clockGapMs(askedAt) > mMaxClockGapMs;
        if (jumped) {
            return;
        }
        Moment known = mAskedAt;
        boolean outdated = known == null || now.clockGapMs(known) > mMaxClockGapMs;
        if (outdated || askedAt.steadyMs() > known.steadyMs()) {
            mAskedAt = askedAt;
        }
    }

    /** Returns the age of the state known, in milliseconds; the greatest value if unknown. */
    public long ageMs(Moment now) {
        Moment known = mAskedAt;
        if (known == null || now.clockGapMs(known) > mMaxClockGapMs) {
            return Long.MAX_VALUE;
        }
        return now.steadyMs() - known.steadyMs();
    }

    /** Returns whether keys may be trusted. */
    public boolean isOpen(Moment now) {
        return ageMs(now) < mLimitMs;
    }

    /** Returns whether the state was confirmed by a question asked at or after the moment. */
    public boolean isConfirmedSince(Moment since, Moment now) {
        Moment known = mAskedAt;
        return known != null
                && now.clockGapMs(known) <= mMaxClockGapMs
                && known.steadyMs() >= since.steadyMs();
    }
}
