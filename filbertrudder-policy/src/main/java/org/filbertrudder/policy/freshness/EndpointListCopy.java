package org.filbertrudder.policy.freshness;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Tracks as of when an instance's copy of the endpoint list is complete, and decides when to read
 * the store and whether endpoints that the list lacks are kept.
 *
 * <p>All times are readings of one steady clock in milliseconds.
 */
public final class EndpointListCopy {

    /** The number of reads that may be pending at the same time. */
    private static final int MAX_PENDING_READS = 3;

    /** The time after which a read that has no answer counts as failed, in milliseconds. */
    private static final long ANSWER_TIME_MS = 500;

    private final ReadTimer mTimer;
    private final long mRelayTimeoutMs;
    private final ReregistrationWindow mWindow;
    private final Set<Read> mPendingReads = new HashSet<>();
    private long mCompleteAsOfMs = Long.MIN_VALUE / 2;

    /** Creates a copy that has not been read yet. */
    public EndpointListCopy(RefreshSchedule schedule, ReregistrationWindow window) {
        mTimer = new ReadTimer(schedule.relayIntervalMs(), schedule.retryMs());
        mRelayTimeoutMs = schedule.relayTimeoutMs();
        mWindow = window;
    }

    /** Returns the age of the copy. */
    public long ageMs(long nowMs) {
        return nowMs - mCompleteAsOfMs;
    }

    /** Returns whether the copy is recent enough to be sent to other instances. */
    public boolean isShared(long nowMs) {
        return isRecent(ageMs(nowMs));
    }

    private boolean isRecent(long ageMs) {
        return ageMs >= 0 && ageMs < mRelayTimeoutMs;
    }

    /** Begins a read of the store; empty if none is due. */
    public Optional<Read> beginReadIfDue(boolean isRelay, long nowMs) {
        boolean isOutdated = ageMs(nowMs) > mRelayTimeoutMs;
        boolean isDue = (isRelay || isOutdated) && mTimer.isDue(nowMs);
        if (!isDue || mPendingReads.size() >= MAX_PENDING_READS) {
            return Optional.empty();
        }
        mTimer.noteRead(isRelay, isOutdated, nowMs);
        Read read = new Read(isRelay, nowMs);
        mPendingReads.add(read);
        return Optional.of(read);
    }

    /** Records that a read has been answered; returns whether the answer is newer than the copy. */
    public boolean noteAnswer(Read read) {
        mPendingReads.remove(read);
        return read.mRequestedMs > mCompleteAsOfMs;
    }

    /** Records that a read has failed. */
    public void noteFailure(Read read, long nowMs) {
        mPendingReads.remove(read);
        mWindow.noteFailedRead(read.mRequestedMs);
        mTimer.noteFailure(read.mIsRelay, nowMs);
    }

    /**
     * Returns whether a list from a peer is recent, and newer than the copy.
     *
     * @param ageMs the age of the list at the peer
     * @param requestedMs when the peer was asked for it
     */
    public boolean isNewer(long ageMs, long requestedMs) {
        return isRecent(ageMs) && requestedMs - ageMs > mCompleteAsOfMs;
    }

    /**
     * Records that the copy is complete as of a time; returns whether endpoints that it lacks are
     * kept from now on.
     */
    public boolean noteComplete(long asOfMs, long nowMs) {
        long unansweredReads =
                mPendingReads.stream()
                        .filter(read -> read.mRequestedMs > mCompleteAsOfMs)
                        .filter(read -> nowMs - read.mRequestedMs > ANSWER_TIME_MS)
                        .count();
        mCompleteAsOfMs = asOfMs;
        mTimer.noteCurrent();
        return mWindow.noteList(asOfMs, (int) unansweredReads, nowMs);
    }

    /** A read of the store, which is equal to no other. */
    public static final class Read {

        private final boolean mIsRelay;
        private final long mRequestedMs;

        private Read(boolean isRelay, long requestedMs) {
            mIsRelay = isRelay;
            mRequestedMs = requestedMs;
        }

        /** Returns when the read began. */
        public long requestedMs() {
            return mRequestedMs;
        }
    }
}
