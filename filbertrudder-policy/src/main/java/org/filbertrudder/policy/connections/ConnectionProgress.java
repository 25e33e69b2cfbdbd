package org.filbertrudder.policy.connections;

import java.util.Optional;

/**
 * Follows what arrives on one connection of a caller and decides whether it may go on reading.
 *
 * <p>All times are readings of one {@link ServingClock} in milliseconds. Bytes that the system has
 * received but the process has not read are unknown here: whoever ends a connection reads them
 * first and asks again. A connection with a whole request is never ended.
 */
public final class ConnectionProgress {

    /**
     * The least pace of a body, in bytes per second. The slowest modems in use are faster, while a
     * caller below it would hold a connection for the deadline of each request at almost no cost.
     */
    public static final long LEAST_BYTES_PER_SECOND = 1_024;

    /**
     * The bytes of a refused request's body that are read and dropped. A connection that is closed
     * with unread bytes is reset, and the reset may overtake the refusal.
     */
    public static final long MAX_DROPPED_BYTES = 256 * 1_024;

    /**
     * The most that may be left of a refused request's body if its connection is to be used again,
     * in bytes.
     */
    public static final long MAX_REST_OF_KEPT_BYTES = 16 * 1_024;

    /** How long the rest of a refused request's body may take, in milliseconds. */
    public static final long DROP_TIMEOUT_MS = 1_000;

    private enum Phase {
        IDLE,
        HEAD,
        BODY,
        PAUSED_BODY,
        REFUSED_BODY,
        ANSWER
    }

    private Phase mPhase = Phase.HEAD;
    private long mSinceMs;
    private long mDeadlineMs;
    private long mPausedMs;
    private long mBodyBytes;
    private long mIdleTimeoutMs;
    private boolean mHasReceived;

    /** Creates the progress of a connection that has just been accepted. */
    public ConnectionProgress(long nowMs) {
        mSinceMs = nowMs;
    }

    /** Records that bytes have arrived, of whatever part. */
    public void bytesReceived(long nowMs) {
        mHasReceived = true;
        if (mPhase == Phase.IDLE) {
            enter(Phase.HEAD, nowMs);
        }
    }

    /** Records that the head of a request is whole; its body must arrive by the deadline. */
    public void headRead(long nowMs) {
        enter(Phase.BODY, nowMs);
        mHasReceived = false;
        mDeadlineMs = Long.MAX_VALUE;
        mBodyBytes = 0;
    }

    /** Sets the time by which the body must have arrived. */
    public void bodyDue(long deadlineMs) {
        mDeadlineMs = deadlineMs;
    }

    /** Stops reading the body, which waits in the socket at no cost to the caller. */
    public void bodyPaused(long nowMs) {
        if (mPhase == Phase.BODY) {
            mPhase = Phase.PAUSED_BODY;
            mPausedMs = nowMs;
        }
    }

    /** Goes on reading the body. */
    public void bodyResumed(long nowMs) {
        if (mPhase == Phase.PAUSED_BODY) {
            long pauseMs = nowMs - mPausedMs;
            mDeadlineMs += mDeadlineMs == Long.MAX_VALUE ? 0 : pauseMs;
            enter(Phase.BODY, mSinceMs + pauseMs);
        }
    }

    /** Records that the request is refused; the rest of its body is dropped. */
    public void refused(long nowMs) {
        if (mPhase == Phase.BODY || mPhase == Phase.PAUSED_BODY) {
            enter(Phase.REFUSED_BODY, nowMs);
            mBodyBytes = 0;
        }
    }

    /** Records that bytes of the body have been read. */
    public void bodyReceived(long bytes) {
        mBodyBytes += bytes;
    }

    /** Records that the request is whole; what arrives from now on belongs to the next one. */
    public void requestRead() {
        mHasReceived = false;
        mPhase = Phase.ANSWER;
    }

    /**
     * Records that the request is whole and its response has been sent.
     *
     * @param idleTimeoutMs the idle limit in force, which holds until the next request also if it
     *     gets shorter, as the caller may be about to send within it
     */
    public void answered(long nowMs, long idleTimeoutMs) {
        mIdleTimeoutMs = idleTimeoutMs;
        enter(mHasReceived ? Phase.HEAD : Phase.IDLE, nowMs);
    }

    /** Returns whether the connection ends with a part of a head, to which a status is due. */
    public boolean hasPartOfHead() {
        return mPhase == Phase.HEAD && mHasReceived;
    }

    private void enter(Phase phase, long nowMs) {
        mPhase = phase;
        mSinceMs = nowMs;
    }

    /** Returns the reason to end the connection; empty if it may go on. */
    public Optional<EndReason> endReason(ReadingLimits limits, long nowMs) {
        long takenMs = nowMs - mSinceMs;
        return switch (mPhase) {
            case IDLE ->
                    reasonIf(
                            takenMs > Math.max(limits.idleTimeoutMs(), mIdleTimeoutMs),
                            EndReason.IDLE);
            case HEAD -> reasonIf(takenMs > limits.headTimeoutMs(), EndReason.HEAD_LATE);
            case BODY -> bodyEndReason(limits, nowMs);
            case REFUSED_BODY ->
                    reasonIf(
                            takenMs > DROP_TIMEOUT_MS || mBodyBytes > MAX_DROPPED_BYTES,
                            EndReason.BODY_REFUSED);
            case PAUSED_BODY, ANSWER -> Optional.empty();
        };
    }

    private Optional<EndReason> bodyEndReason(ReadingLimits limits, long nowMs) {
        if (nowMs > mDeadlineMs) {
            return Optional.of(EndReason.BODY_LATE);
        }
        // The time of a head is granted before the pace counts: short bodies come in one part.
        long pacedMs = nowMs - mSinceMs - limits.headTimeoutMs();
        return reasonIf(
                pacedMs > 0 && mBodyBytes * 1_000 < pacedMs * LEAST_BYTES_PER_SECOND,
                EndReason.BODY_SLOW);
    }

    private static Optional<EndReason> reasonIf(boolean applies, EndReason reason) {
        return applies ? Optional.of(reason) : Optional.empty();
    }
}
