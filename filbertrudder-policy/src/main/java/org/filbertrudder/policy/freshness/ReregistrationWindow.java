package org.filbertrudder.policy.freshness;

/**
 * Decides for how long endpoints without a registration are kept, as registrations expire while the
 * store is unavailable and are renewed soon after.
 *
 * <p>An outage of the store leaves a gap between the times as of which complete lists are known, in
 * which the instance's own reads fail. What a peer says of an outage does not count: it may be the
 * peer's own path to the store that was interrupted. Lists that peers have read do count, as they
 * prove that the store was available. All times are readings of one steady clock in milliseconds.
 */
public final class ReregistrationWindow {

    /**
     * How long endpoints are kept after an outage, in milliseconds; the platform promises that they
     * register again within about two seconds.
     */
    public static final long REREGISTRATION_MS = 2_500;

    /** A registration expires after three heartbeat intervals, of which one has passed. */
    private static final int HEARTBEATS_TO_EXPIRE = 2;

    /** One failed read may have a cause of its own. */
    private static final int FAILED_READS_OF_AN_OUTAGE = 2;

    private final long mRelayTimeoutMs;
    private final long mShortestOutageMs;
    private final long mLongestDoubtMs;
    private long mCompleteAsOfMs = Long.MIN_VALUE / 2;
    private long mRegisteredByMs = Long.MIN_VALUE / 2;
    private long mDeadlineMs = Long.MIN_VALUE / 2;
    private int mFailedReads;

    /**
     * Creates a closed window.
     *
     * @param schedule the schedule of lists
     * @param heartbeatMs the interval at which endpoints renew their registrations
     * @param longestDoubtMs the longest time after a complete list for which an endpoint on it may
     *     be kept while it is in doubt whether there was an outage
     */
    public ReregistrationWindow(RefreshSchedule schedule, long heartbeatMs, long longestDoubtMs) {
        mRelayTimeoutMs = schedule.relayTimeoutMs();
        mShortestOutageMs = Math.max(HEARTBEATS_TO_EXPIRE * heartbeatMs, schedule.longestGapMs());
        mLongestDoubtMs = longestDoubtMs;
    }

    /** Records that a read of this instance that began at a time has failed. */
    public void noteFailedRead(long requestedMs) {
        if (requestedMs > mCompleteAsOfMs) {
            mFailedReads++;
        }
    }

    /**
     * Records that a list is complete as of a time, and opens the window if there was an outage
     * before; returns whether it did.
     *
     * @param unansweredReads the reads of this instance that began after the last list and should
     *     have been answered by now
     */
    public boolean noteList(long completeAsOfMs, int unansweredReads, long nowMs) {
        long lastCompleteAsOfMs = mCompleteAsOfMs;
        int failedReads = mFailedReads + unansweredReads;
        mCompleteAsOfMs = completeAsOfMs;
        mFailedReads = 0;
        boolean isOutagePossible =
                failedReads > 0 && completeAsOfMs - lastCompleteAsOfMs >= mShortestOutageMs;
        if (!isOutagePossible) {
            return false;
        }
        open(nowMs);
        if (failedReads < FAILED_READS_OF_AN_OUTAGE) {
            mDeadlineMs = Math.min(mDeadlineMs, lastCompleteAsOfMs + mLongestDoubtMs);
        }
        return isOpen(nowMs);
    }

    /** Opens the window, as the store has returned and may lack registrations. */
    public void open(long nowMs) {
        mRegisteredByMs = nowMs + REREGISTRATION_MS;
        mDeadlineMs = mRegisteredByMs + mRelayTimeoutMs;
    }

    /** Returns whether reads of this instance have failed since the last complete list. */
    public boolean hasFailedReads() {
        return mFailedReads > 0;
    }

    /**
     * Returns whether endpoints without a registration are kept: until a list is complete as of a
     * time by which they would have registered again.
     */
    public boolean isOpen(long nowMs) {
        return mCompleteAsOfMs < mRegisteredByMs && nowMs < mDeadlineMs;
    }

    /** Returns the longest time for which the window stays open. */
    public long remainingMs(long nowMs) {
        return isOpen(nowMs) ? mDeadlineMs - nowMs : 0;
    }
}
