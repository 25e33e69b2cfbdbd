package org.filbertrudder.policy.routing;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the requests that a cold endpoint gets in any second.
 *
 * <p>One instance of the region sends to a cold endpoint at a time. While the instances disagree on
 * which one, two may, so each keeps to the rate that the endpoint bears by itself.
 */
final class WarmupGate {

    private static final long WINDOW_MS = 1_000;

    /** Covers what the network adds or takes away between two requests, in milliseconds. */
    private static final long JITTER_MS = 100;

    private final Deque<Long> mStartsMs = new ArrayDeque<>();
    private long mColdUntilMs = Long.MIN_VALUE;
    private int mPerSecond;

    void setCold(long untilMs, int perSecond) {
        mColdUntilMs = Math.max(mColdUntilMs, untilMs);
        mPerSecond = perSecond;
    }

    boolean isCold(long nowMs) {
        return nowMs < mColdUntilMs;
    }

    boolean hasRoom(long nowMs) {
        forget(nowMs);
        return !isCold(nowMs) || mStartsMs.size() < mPerSecond;
    }

    void noteStart(long nowMs) {
        forget(nowMs);
        mStartsMs.addLast(nowMs);
    }

    private void forget(long nowMs) {
        while (!mStartsMs.isEmpty() && nowMs - mStartsMs.peekFirst() > WINDOW_MS + JITTER_MS) {
            mStartsMs.removeFirst();
        }
    }
}
