package org.filbertrudder.policy.membership;

/** Observations of this instance about another one. */
final class Observation {

    private static final int MAX_SUSPICION_BACKOFF_FACTOR = 16;
    private static final long NO_HEARTBEAT_PENDING = -1;
    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    private final MembershipSettings mSettings;
    private long mStateSinceMs;
    private long mUnansweredSinceMs = NO_HEARTBEAT_PENDING;
    private long mHeartbeatReceivedMs = NEVER_MS;
    private long mAnsweredMs = NEVER_MS;
    private long mSteadySinceMs = NEVER_MS;
    private int mSuspicionBackoffFactor = 1;
    private boolean mLeaveAnnounced;

    Observation(MembershipSettings settings, long nowMs) {
        mSettings = settings;
        mStateSinceMs = nowMs;
    }

    void recordHeartbeatSent(long nowMs) {
        if (mUnansweredSinceMs == NO_HEARTBEAT_PENDING) {
            mUnansweredSinceMs = nowMs;
        }
    }

    void recordHeartbeatReceived(long nowMs) {
        mHeartbeatReceivedMs = nowMs;
    }

    void recordAnswer(long nowMs) {
        if (!hasJustAnswered(nowMs)) {
            mSteadySinceMs = nowMs;
        }
        mAnsweredMs = nowMs;
        shortenSuspicion(nowMs);
        mUnansweredSinceMs = NO_HEARTBEAT_PENDING;
    }

    /** Halves the suspicion time after steady answers for as long as that time. */
    private void shortenSuspicion(long nowMs) {
        if (mSuspicionBackoffFactor > 1 && nowMs - mSteadySinceMs >= suspectAfterMs()) {
            mSuspicionBackoffFactor /= 2;
            mSteadySinceMs = nowMs;
        }
    }

    /** Records that the member is in a new state, which it is given time to change. */
    void recordState(boolean leaveAnnounced, long nowMs) {
        mStateSinceMs = nowMs;
        mLeaveAnnounced = leaveAnnounced;
        mUnansweredSinceMs = NO_HEARTBEAT_PENDING;
    }

    /** Makes the next suspicion need twice the time, up to a limit. */
    void recordSuspicion() {
        mSuspicionBackoffFactor =
                Math.min(MAX_SUSPICION_BACKOFF_FACTOR, mSuspicionBackoffFactor * 2);
    }

    boolean isSuspicious(long nowMs) {
        return unansweredForMs(nowMs) > suspectAfterMs();
    }

    private long suspectAfterMs() {
        return mSettings.suspectAfterMs() * mSuspicionBackoffFactor;
    }

    /** Returns whether an answer shows that the member is reachable now. */
    boolean hasJustAnswered(long nowMs) {
        return answeredBeforeMs(nowMs) <= mSettings.answerValidMs();
    }

    /** Returns the time since the last answer, in milliseconds. */
    long answeredBeforeMs(long nowMs) {
        return nowMs - mAnsweredMs;
    }

    long unansweredForMs(long nowMs) {
        return mUnansweredSinceMs == NO_HEARTBEAT_PENDING ? 0 : nowMs - mUnansweredSinceMs;
    }

    long stateSinceMs() {
        return mStateSinceMs;
    }

    long heartbeatReceivedMs() {
        return mHeartbeatReceivedMs;
    }

    /** Returns whether the member has announced that it leaves. */
    boolean hasAnnouncedLeave() {
        return mLeaveAnnounced;
    }
}
