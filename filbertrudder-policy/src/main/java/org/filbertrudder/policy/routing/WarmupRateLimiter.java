package org.filbertrudder.policy.routing;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the requests per second to an endpoint that is warming up, over a sliding window.
 *
 * <p>Normally only one instance of the region sends requests to a cold endpoint. An instance that
 * takes over waits until the requests of the former one have left the window, so that both together
 * stay within the limit. While the instances disagree on which one may send, two may.
 */
final class WarmupRateLimiter {

    private static final long WINDOW_MS = 1_000;

    /** Extends the window by the change of network delay between two requests, in ms. */
    private static final long NETWORK_JITTER_MS = 100;

    private final Deque<Long> mRecentStartsMs = new ArrayDeque<>();
    private long mColdUntilMs = Long.MIN_VALUE;
    private int mMaxPerSecond;
    private long mFirstStartMs = Long.MIN_VALUE;

    void setCold(long untilMs, int perSecond, long nowMs) {
        if (mMaxPerSecond == 0 && perSecond > 0) {
            mFirstStartMs = nowMs + WINDOW_MS + NETWORK_JITTER_MS;
        }
        mColdUntilMs = Math.max(mColdUntilMs, untilMs);
        mMaxPerSecond = perSecond;
    }

    boolean isCold(long nowMs) {
        return nowMs < mColdUntilMs;
    }

    /** Returns whether the limit permits a request to a cold endpoint. */
    boolean hasPermit(long nowMs) {
        dropExpiredStarts(nowMs);
        return nowMs >= mFirstStartMs && mRecentStartsMs.size() < mMaxPerSecond;
    }

    boolean allowsRequest(long nowMs) {
        return !isCold(nowMs) || hasPermit(nowMs);
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
