package org.filbertrudder.policy.scheduling;

import java.util.ArrayDeque;
import java.util.Deque;

/** Counts the requests that an engine states beyond those that the scheduler knows. */
final class ForeignRequests {

    /** The age from which on a count is not used, in milliseconds. */
    private static final long LIFETIME_MS = 1_000;

    /**
     * The maximum age of a statement when it arrives, in milliseconds. A statement may still
     * include requests whose end arrived before it.
     */
    private static final long STATEMENT_DELAY_MS = 30;

    private final Deque<Long> mRecentEndsMs = new ArrayDeque<>();
    private int mCount;
    private long mStatedMs = Long.MIN_VALUE / 2;

    /**
     * Records a statement of the engine.
     *
     * @param stated the number of requests in the engine
     * @param known the number of open requests that the scheduler knows
     */
    void recordStatement(int stated, int known, long nowMs) {
        removeOldEnds(nowMs);
        mCount = Math.max(0, stated - known - mRecentEndsMs.size());
        mStatedMs = nowMs;
    }

    /** Records that a request that was already running has become known. */
    void recordFound() {
        mCount = Math.max(0, mCount - 1);
    }

    /** Records the end of a known request. */
    void recordEnd(long nowMs) {
        removeOldEnds(nowMs);
        mRecentEndsMs.add(nowMs);
    }

    int count(long nowMs) {
        return nowMs - mStatedMs < LIFETIME_MS ? mCount : 0;
    }

    private void removeOldEnds(long nowMs) {
        while (!mRecentEndsMs.isEmpty() && nowMs - mRecentEndsMs.peek() > STATEMENT_DELAY_MS) {
            mRecentEndsMs.remove();
        }
    }
}
