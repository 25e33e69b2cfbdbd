package org.filbertrudder.policy.scheduling;

import java.util.Comparator;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.policy.RendezvousHashing;

/** Represents a request that waits for its start. */
final class WaitingStart {

    /** Orders requests by key; the smaller and then the earlier request wins a tie. */
    static final Comparator<WaitingStart> BY_KEY =
            Comparator.comparingDouble(WaitingStart::keyMs)
                    .thenComparingLong(waiting -> waiting.mSize)
                    .thenComparingLong(waiting -> waiting.mSequence);

    /** The part of its latency goal that a request may wait whatever the length of its prompt. */
    private static final double MIN_WAIT_GOAL_PART = 0.3;

    /** The longest wait of a request of another region; it has waited there already. */
    private static final long FORWARDED_WAIT_LIMIT_MS = 200;

    private final StartRequest mRequest;
    private final double mPlaceMs;
    private final double mKeyMs;
    private final double mTokens;
    private final long mSize;
    private final long mSequence;
    private final long mSubmittedMs;
    private final long mArrivalMs;
    private final long mStartByMs;
    private final long mAffinityHash;
    private long mCheckedMs = Long.MIN_VALUE / 2;
    private ScheduledEngine mFastEnough;
    private double mStartDelayMs;
    private ScheduledEngine mAwaited;
    private long mAwaitedUntilMs;

    /**
     * Creates a waiting request.
     *
     * @param placeMs the arrival plus the lag of the account
     * @param tokens the tokens of the prompt that are not cached in the region
     */
    WaitingStart(StartRequest request, double placeMs, double tokens, long sequence, long nowMs) {
        mRequest = request;
        mPlaceMs = placeMs;
        mKeyMs = StartOrder.keyMs(placeMs, request.rank());
        mTokens = tokens;
        mSize = request.prompt().size();
        mSequence = sequence;
        mSubmittedMs = nowMs;
        mArrivalMs = nowMs - Math.max(0, request.ageMs());
        long waitLimitMs =
                request.forwarded()
                        ? Math.min(FORWARDED_WAIT_LIMIT_MS, request.waitLimitMs())
                        : request.waitLimitMs();
        mStartByMs = nowMs + waitLimitMs;
        mAffinityHash = RendezvousHashing.hash(request.prompt().affinityKey());
    }

    StartRequest request() {
        return mRequest;
    }

    StartId id() {
        return mRequest.id();
    }

    /** Returns the arrival plus the lag of the account, in milliseconds. */
    double placeMs() {
        return mPlaceMs;
    }

    double keyMs() {
        return mKeyMs;
    }

    /** Returns the tokens of the prompt that were not cached in the region at its arrival. */
    double tokens() {
        return mTokens;
    }

    long submittedMs() {
        return mSubmittedMs;
    }

    /** Returns the time until the request must have started, in milliseconds. */
    long remainingWaitMs(long nowMs) {
        return mStartByMs - nowMs;
    }

    /**
     * Returns how long the request may still wait, in milliseconds.
     *
     * <p>The queue loses no throughput if it is kept so short that the first events still meet the
     * latency goal. Long prompts, which would miss it even at once, may wait for a part of it.
     * Requests whose wait limit exceeds their goal may wait for all of the limit.
     */
    double usefulWaitMs(long nowMs) {
        long goalMs = mRequest.goalMs();
        long remainingMs = remainingWaitMs(nowMs);
        if (mStartByMs > mArrivalMs + goalMs) {
            return remainingMs;
        }
        double waitMs = Math.max(MIN_WAIT_GOAL_PART * goalMs, goalMs - mStartDelayMs);
        return Math.min(remainingMs, waitMs - ageMs(nowMs));
    }

    /** Updates the shortest time from a start to the first event. */
    void updateStartDelay(Iterable<ScheduledEngine> engines, long nowMs) {
        double shortestMs = Double.MAX_VALUE;
        for (ScheduledEngine engine : engines) {
            if (engine.isUsable() && !isExcluded(engine.id())) {
                double delayMs = engine.room().startDelayMs(mRequest.prompt(), nowMs);
                shortestMs = Math.min(shortestMs, delayMs);
            }
        }
        mStartDelayMs = shortestMs == Double.MAX_VALUE ? 0 : shortestMs;
    }

    long deadlineMs() {
        return mSubmittedMs + mRequest.remainingMs();
    }

    /** Returns the time since the request arrived at its instance, in milliseconds. */
    long ageMs(long nowMs) {
        return nowMs - mArrivalMs;
    }

    long affinityHash() {
        return mAffinityHash;
    }

    boolean isExcluded(EndpointId engine) {
        return !mRequest.excluded().isEmpty() && mRequest.excluded().contains(engine);
    }

    /** Returns when the conditions that change slowly were checked. */
    long checkedMs() {
        return mCheckedMs;
    }

    void setCheckedMs(long checkedMs) {
        mCheckedMs = checkedMs;
    }

    /** Lets the request wait for a blocked engine until the given time. */
    void awaitEngine(ScheduledEngine engine, long untilMs) {
        mAwaited = engine;
        mAwaitedUntilMs = untilMs;
    }

    /** Returns the engine for which the request waits now, or null if there is none. */
    ScheduledEngine awaitedEngine(long nowMs) {
        return nowMs < mAwaitedUntilMs ? mAwaited : null;
    }

    /** Returns whether the response can end in time on one of the engines, alone. */
    boolean canEndInTime(Iterable<ScheduledEngine> engines, long nowMs) {
        if (mFastEnough != null && isFastEnough(mFastEnough, nowMs)) {
            return true;
        }
        for (ScheduledEngine engine : engines) {
            if (isFastEnough(engine, nowMs)) {
                mFastEnough = engine;
                return true;
            }
        }
        return false;
    }

    private boolean isFastEnough(ScheduledEngine engine, long nowMs) {
        return engine.isListed()
                && !isExcluded(engine.id())
                && engine.room().canEndInTime(mRequest.prompt(), deadlineMs() - nowMs, nowMs);
    }
}
