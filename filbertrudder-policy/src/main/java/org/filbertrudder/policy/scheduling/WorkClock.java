package org.filbertrudder.policy.scheduling;

/**
 * Converts the time at an engine into work, which is the time that the same work takes at pace 100.
 *
 * <p>The pace of an engine's machine changes within less than a second, so the work of an interval
 * is summed over the paces that were in force.
 */
final class WorkClock {

    /** The age from which on a stated pace is not used, in milliseconds. */
    private static final long PACE_LIFETIME_MS = 1_000;

    private double mSlowdown = 1;
    private long mPaceEndMs;
    private long mUpdatedMs;
    private double mWorkMs;

    /** Records a stated pace; at 150, work takes 1.5 times as long. */
    void recordPace(int pacePercent, long nowMs) {
        mWorkMs = workMs(nowMs);
        mUpdatedMs = nowMs;
        mSlowdown = Math.max(1, pacePercent) / 100.0;
        mPaceEndMs = nowMs + PACE_LIFETIME_MS;
    }

    /** Returns the factor by which work takes longer now than at pace 100. */
    double slowdown(long nowMs) {
        return nowMs < mPaceEndMs ? mSlowdown : 1;
    }

    /** Returns the work since an arbitrary moment, in milliseconds. */
    double workMs(long nowMs) {
        long pacedMs = Math.max(0, Math.min(nowMs, mPaceEndMs) - mUpdatedMs);
        return mWorkMs + pacedMs / mSlowdown + (nowMs - mUpdatedMs - pacedMs);
    }
}
