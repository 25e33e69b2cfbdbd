package org.filbertrudder.policy.scheduling;

import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.policy.routing.PromptDemand;
import org.filbertrudder.policy.scheduling.OpenPrompts.OpenPrompt;

/**
 * Estimates how much more work an engine can take, from the region's starts, the reports on them,
 * and the statements of the engine.
 *
 * <p>Prompts in an engine cannot be withdrawn and are read in the order of their arrival, whatever
 * their priority. So a prompt starts only if those before it are read within a short window.
 */
final class EngineRoom {

    /** The share of memory for running requests; the rest is left to cached shared parts. */
    private static final double MAX_REQUEST_MEMORY_SHARE = 0.9;

    /** The reading time from which on new prompts are not started, in milliseconds. */
    static final double WINDOW_MS = 200;

    /** The part of the window that is left if a running stream lacks much time. */
    private static final double MIN_WINDOW_SHARE = 0.2;

    /** The missing time of a stream at which the window is smallest, in milliseconds. */
    private static final double MAX_MISSING_MS = 800;

    /** The time for which an engine that was full gets no prompts, in milliseconds. */
    private static final long REJECTION_PAUSE_MS = 100;

    private static final double FAILING_COST_MS = 600;
    private static final double OVERRUN_COST_MS = 1_000;

    private final EndpointId mId;
    private final ServiceSpeed mService;
    private final EngineSpeed mSpeed;
    private final WorkClock mClock = new WorkClock();
    private final OpenPrompts mOpen = new OpenPrompts();
    private final ForeignRequests mForeign = new ForeignRequests();
    private final StreamReports mStreams = new StreamReports();
    private int mSlots;
    private long mMemoryLimitTokens;
    private boolean mUsable;
    private boolean mFailing;
    private long mPauseEndMs = Long.MIN_VALUE;

    /** The work clock when the engine began to read the first prompt that is not yet read. */
    private double mReadingSinceWorkMs;

    EngineRoom(EndpointId id, ServiceSpeed speed) {
        mId = id;
        mService = speed;
        mSpeed = new EngineSpeed(speed);
    }

    EndpointId id() {
        return mId;
    }

    void setCapacity(int slots, long memoryTokens, boolean usable, boolean failing) {
        mSlots = slots;
        mMemoryLimitTokens = (long) (memoryTokens * MAX_REQUEST_MEMORY_SHARE);
        if (mUsable && !usable) {
            // The engine may return from a restart with an empty cache.
            mOpen.clearCachedParts();
            mSpeed.recordInterruption();
        }
        mUsable = usable;
        mFailing = failing;
    }

    /** Returns whether the engine should get the prompt now. */
    boolean canStart(PromptDemand prompt, long nowMs) {
        return hasRoom(prompt, nowMs) && !isBacklogTooLong(nowMs);
    }

    /** Returns whether only the prompts that wait in the engine keep the prompt out. */
    boolean isBlockedByBacklog(PromptDemand prompt, long nowMs) {
        return hasRoom(prompt, nowMs) && isBacklogTooLong(nowMs);
    }

    private boolean hasRoom(PromptDemand prompt, long nowMs) {
        return freeSlots(nowMs) > 0
                && (mOpen.memoryTokens() == 0
                        || mOpen.memoryTokens() + prompt.memoryTokens() <= mMemoryLimitTokens);
    }

    private boolean isBacklogTooLong(long nowMs) {
        return !mOpen.isAllRead() && backlogMs(nowMs) >= windowMs(nowMs);
    }

    /**
     * Returns the window, in milliseconds. A prompt counts as unread for the base delay after it
     * has been read, so without that time the engine would run out of prompts.
     */
    private double windowMs(long nowMs) {
        double missingShare = Math.min(1, mStreams.missingMs(nowMs) / MAX_MISSING_MS);
        return mSpeed.baseDelayMs() + WINDOW_MS * (1 - (1 - MIN_WINDOW_SHARE) * missingShare);
    }

    /** Returns the number of requests that the engine can take; 0 if it must not get any. */
    int freeSlots(long nowMs) {
        expire(nowMs);
        return mUsable && nowMs >= mPauseEndMs
                ? Math.max(0, mSlots - mOpen.count() - mForeign.count(nowMs))
                : 0;
    }

    /** Returns the prompt speed at the present pace, in tokens per millisecond. */
    double tokensPerMs(long nowMs) {
        return mSpeed.tokensPerMs() / mClock.slowdown(nowMs);
    }

    /** Returns the remaining reading time of the prompts in the engine, in milliseconds. */
    double backlogMs(long nowMs) {
        expire(nowMs);
        return backlogTokens(nowMs) / tokensPerMs(nowMs);
    }

    /** The prompt that is being read counts with the part that is left of it. */
    private double backlogTokens(long nowMs) {
        double readTokens = (mClock.workMs(nowMs) - mReadingSinceWorkMs) * mSpeed.tokensPerMs();
        return mOpen.unreadTokens() - Math.max(0, Math.min(mOpen.firstUnreadTokens(), readTokens));
    }

    /** Returns the expected time from a start now to the first event, in milliseconds. */
    double startDelayMs(PromptDemand prompt, long nowMs) {
        expire(nowMs);
        return startDelayMs(mOpen.uncachedTokens(prompt, nowMs), nowMs);
    }

    private double startDelayMs(long uncachedTokens, long nowMs) {
        return (backlogTokens(nowMs) + uncachedTokens) / tokensPerMs(nowMs) + mSpeed.baseDelayMs();
    }

    /**
     * Returns the cost of running a prompt on this engine: the time to its first event, the time
     * that its shared parts take from other requests, and penalties, in milliseconds.
     */
    double costMs(PromptDemand prompt, long remainingMs, long nowMs) {
        expire(nowMs);
        long sharedTokens = mOpen.uncachedSharedTokens(prompt, nowMs);
        double delayMs = startDelayMs(OpenPrompts.tokensToRead(prompt, sharedTokens), nowMs);
        double overrunMs = delayMs + generationMs(prompt, nowMs) - remainingMs;
        return delayMs
                + sharedTokens / tokensPerMs(nowMs)
                + (mFailing ? FAILING_COST_MS : 0)
                + (overrunMs > 0 ? OVERRUN_COST_MS + overrunMs : 0);
    }

    /** Returns whether the response could end in time if no other prompt waited in the engine. */
    boolean canEndInTime(PromptDemand prompt, long remainingMs, long nowMs) {
        double readingMs = mOpen.uncachedTokens(prompt, nowMs) / tokensPerMs(nowMs);
        return mSpeed.baseDelayMs() + readingMs + generationMs(prompt, nowMs) <= remainingMs;
    }

    /** Returns the time from the first to the last event, in milliseconds; 0 if not known. */
    private double generationMs(PromptDemand prompt, long nowMs) {
        double msPerEvent = mStreams.msPerEvent(nowMs);
        OptionalDouble events = mService.outputEvents().expectedEvents(prompt.outputTokens());
        return events.isPresent() ? events.getAsDouble() * msPerEvent : 0;
    }

    /** Records a start; one that is already known has no effect. */
    void start(StartId id, PromptDemand prompt, long deadlineMs, long nowMs) {
        expire(nowMs);
        if (mOpen.contains(id)) {
            return;
        }
        double workMs = mClock.workMs(nowMs);
        if (mOpen.isAllRead()) {
            mReadingSinceWorkMs = workMs + mSpeed.baseDelayMs() / mClock.slowdown(nowMs);
        }
        mOpen.start(id, prompt, deadlineMs, nowMs, workMs);
    }

    /** Records the first event of a response. */
    void begun(StartId id, long nowMs) {
        expire(nowMs);
        OpenPrompt open = mOpen.begin(id, nowMs);
        if (open == null) {
            return;
        }
        if (open.startedMs() == nowMs) {
            // The response began before this scheduler learned of the start.
            mForeign.recordFound();
            return;
        }
        double workMs = mClock.workMs(nowMs);
        mSpeed.recordBegun(open.uncachedTokens(), open.startedMs(), nowMs, workMs);
        if (open.metIdleEngine()) {
            mSpeed.recordIdleStart(
                    open.uncachedTokens(), nowMs - open.startedMs(), workMs - open.startWorkMs());
        }
        mReadingSinceWorkMs = workMs;
    }

    /**
     * Records the end of a request.
     *
     * @param events the number of events of a complete response; 0 if it is incomplete
     */
    void ended(StartId id, long events, long nowMs) {
        expire(nowMs);
        if (events > 0 && mOpen.begin(id, nowMs) != null) {
            mSpeed.recordInterruption();
        }
        if (mOpen.isUnread(id)) {
            interrupt(nowMs);
        }
        OpenPrompt open = mOpen.remove(id, nowMs);
        if (open != null) {
            mForeign.recordEnd(nowMs);
            if (events > 0) {
                mService.outputEvents().recordCompleted(open.prompt().outputTokens(), events);
            }
        }
    }

    /** Records that the engine was full and has not run the request. */
    void rejected(StartId id, long nowMs) {
        expire(nowMs);
        if (mOpen.remove(id, nowMs) != null) {
            mPauseEndMs = nowMs + REJECTION_PAUSE_MS;
        }
    }

    /** Records what the engine states about its requests and the pace of its machine. */
    void recordStatement(int running, int waiting, OptionalInt pacePercent, long nowMs) {
        expire(nowMs);
        mForeign.recordStatement(running + waiting, mOpen.count(), nowMs);
        if (pacePercent.isPresent()) {
            mClock.recordPace(pacePercent.getAsInt(), nowMs);
        }
    }

    /** Records the pace of an instance's streams, and the time that the tightest of them lacks. */
    void recordStreams(InstanceId from, double msPerEvent, double missingMs, long nowMs) {
        mStreams.record(from, msPerEvent, missingMs, nowMs);
    }

    private void expire(long nowMs) {
        if (mOpen.removeExpired(nowMs)) {
            interrupt(nowMs);
        }
    }

    private void interrupt(long nowMs) {
        mSpeed.recordInterruption();
        mReadingSinceWorkMs = mClock.workMs(nowMs);
    }
}
