package org.filbertrudder.policy.routing;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the requests per second to an endpoint that is warming up, over a sliding window.
 *
 * <p>Normally only one instance of the region sends requests to a cold endpoint. While the
 * instances disagree on which one, two may send, so each instance enforces the limit by itself.
 */
final class WarmupRateLimiter {

    private static final long WINDOW_MS = 1_000;

    /** Extends the window by the change of network delay between two requests, in ms. */
    private static final long NETWORK_JITTER_MS = 100;

    private final Deque<Long> mRecentStartsMs = new ArrayDeque<>();
    private long mColdUntilMs = Long.MIN_VALUE;
    private int mMaxPerSecond;

    void setCold(long untilMs, int perSecond) {
        mColdUntilMs = Math.max(mColdUntilMs, untilMs);
        mMaxPerSecond = perSecond;
    }

    boolean isCold(long nowMs) {
        return nowMs < mColdUntilMs;
    }

    boolean allowsRequest(long nowMs) {
        dropExpiredStarts(nowMs);
        return !isCold(nowMs) || mRecentStartsMs.size() < mMaxPerSecond;
    }

    void recordStart(long nowMs) {
        dropExpiredStarts(nowMs);
        mRecentStartsMs.addLast(nowMs);
    }

    private void dropExpiredStarts(long nowMs) {
        while (!mRecentStartsMs.isEmpty()
                && nowMs - mRecentStartsMs.peekFirst() > WINDOW_MS + NETWORK_JITTER_MS) {
            mRecentStartsMs.removeFirst();
        }
    }
}
