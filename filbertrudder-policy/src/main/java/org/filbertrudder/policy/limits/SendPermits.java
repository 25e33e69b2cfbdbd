package org.filbertrudder.policy.limits;

/**
 * Holds the permits of this instance to send requests to one endpoint with a limit, and decides
 * when to request more.
 *
 * <p>Permits expire soon after their slot. A lost, late or repeated reply therefore costs permits
 * but never adds any.
 */
public final class SendPermits {

    /** How long after its slot a permit may be used, in milliseconds. */
    static final long VALIDITY_MS = 500;

    /** The time after which a request for permits counts as lost, in milliseconds. */
    static final long REPLY_TIMEOUT_MS = 500;

    /** The time between the attempts of requests to use the endpoint that count as demand. */
    private static final long DEMAND_LIFETIME_MS = 1_000;

    /** How long before the next free slot permits are requested again, in milliseconds. */
    private static final long REQUEST_AHEAD_MS = 500;

    /** The shortest interval between requests while slots are free, in milliseconds. */
    private static final long MIN_REQUEST_INTERVAL_MS = 250;

    /** The shortest interval between requests while no slot is free, in milliseconds. */
    private static final long MIN_DEFERRED_INTERVAL_MS = 1_000;

    /** The longest interval between requests while no slot is free, in milliseconds. */
    static final long MAX_DEFERRED_INTERVAL_MS = 5_000;

    private int mCount;
    private long mValidFromMs = Long.MIN_VALUE / 2;
    private long mValidUntilMs = Long.MIN_VALUE / 2;
    private long mLastDemandMs = Long.MIN_VALUE / 2;
    private int mDemand;
    private long mPendingId;
    private long mRequestedMs = Long.MIN_VALUE / 2;
    private long mNextRequestMs = Long.MIN_VALUE / 2;
    private long mExpectedMs = Long.MIN_VALUE / 2;
    private boolean mPausedRequests;
    private double mIntervalByLimitMs;
    private double mIntervalMs;

    /** Creates the permits for an endpoint with a limit, in requests per second; none is held. */
    public SendPermits(double perSecond) {
        setLimit(perSecond);
    }

    /** Sets the limit of the endpoint, in requests per second. */
    public void setLimit(double perSecond) {
        double intervalMs = 1_000 / Math.max(SendSlots.MIN_PER_SECOND, perSecond);
        if (intervalMs != mIntervalByLimitMs) {
            mIntervalByLimitMs = intervalMs;
            mIntervalMs = intervalMs;
        }
    }

    /** Returns whether a request may be sent now. */
    public boolean isAvailable(long nowMs) {
        return mCount > 0 && nowMs >= mValidFromMs && nowMs < mValidUntilMs;
    }

    /** Uses a permit for a request that is sent now. */
    public void use() {
        mCount = Math.max(0, mCount - 1);
        if (mCount == 0) {
            mExpectedMs = mValidFromMs + (long) mIntervalMs;
        }
    }

    /** Returns whether a permit is available or may be at the given time. */
    public boolean isExpectedBy(long timeMs) {
        return isAvailable(timeMs) || timeMs >= mExpectedMs;
    }

    /**
     * Returns the expected time until a request may be sent that waits behind others, in
     * milliseconds.
     *
     * @param ahead the number of requests that wait for the same endpoint
     */
    public long expectedWaitMs(int ahead, long nowMs) {
        if (isAvailable(nowMs) && ahead < mCount) {
            return 0;
        }
        return (long) (Math.max(0, mExpectedMs - nowMs) + ahead * mIntervalMs);
    }

    /** Records that a request could be sent to the endpoint if there were a permit. */
    public void noteDemand(long nowMs) {
        mLastDemandMs = nowMs;
        mDemand++;
    }

    /** Returns whether permits should be requested now. */
    public boolean shouldRequest(long nowMs) {
        boolean pending = mPendingId != 0 && nowMs - mRequestedMs < REPLY_TIMEOUT_MS;
        boolean held = mCount > 0 && nowMs < mValidUntilMs;
        return nowMs - mLastDemandMs < DEMAND_LIFETIME_MS
                && !pending
                && !held
                && nowMs >= mNextRequestMs;
    }

    /**
     * Records that permits are requested now.
     *
     * @param id correlates the reply; not 0
     * @return the number of permits to request
     */
    public int request(long id, long nowMs) {
        int wanted = Math.max(1, mDemand);
        mPausedRequests |= nowMs - mRequestedMs > MAX_DEFERRED_INTERVAL_MS + DEMAND_LIFETIME_MS;
        mDemand = 0;
        mCount = 0;
        mPendingId = id;
        mRequestedMs = nowMs;
        mNextRequestMs = nowMs + REPLY_TIMEOUT_MS;
        mExpectedMs = Math.max(mExpectedMs, nowMs);
        return wanted;
    }

    /**
     * Handles the reply to a request for permits; replies to other requests are ignored.
     *
     * @param count the number of permits; 0 if there are none yet
     * @param waitMs the time until the permits are valid, or until the next free slot
     */
    public void handleReply(long id, int count, long waitMs, long nowMs) {
        if (id != mPendingId) {
            return;
        }
        mPendingId = 0;
        if (count <= 0) {
            mExpectedMs = nowMs + waitMs;
            long intervalMs = Math.max(MIN_DEFERRED_INTERVAL_MS, waitMs - REQUEST_AHEAD_MS);
            mNextRequestMs = nowMs + Math.min(MAX_DEFERRED_INTERVAL_MS, intervalMs);
            return;
        }
        updateInterval(count, nowMs + waitMs);
        mCount = count;
        mValidFromMs = nowMs + waitMs;
        // Counted from the request, as the time that the reply took is not known.
        mValidUntilMs = mRequestedMs + waitMs + VALIDITY_MS;
        mExpectedMs = mValidFromMs;
        mNextRequestMs = nowMs + MIN_REQUEST_INTERVAL_MS;
    }

    /**
     * Adapts the interval between permits to what this instance gets beside the others, as long as
     * it keeps requesting them.
     */
    private void updateInterval(int count, long validFromMs) {
        double sinceLastMs = (double) (validFromMs - mValidFromMs) / count;
        mIntervalMs = mPausedRequests ? mIntervalByLimitMs : (mIntervalMs + sinceLastMs) / 2;
        mPausedRequests = false;
    }

    /** Records that no instance can be asked for permits now. */
    public void noteNoScheduler(long nowMs) {
        mNextRequestMs = nowMs + REPLY_TIMEOUT_MS;
        mExpectedMs = mNextRequestMs;
    }
}
