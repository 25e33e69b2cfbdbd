package org.filbertrudder.policy.routing;

import java.util.OptionalDouble;

/**
 * Estimates the prefill backlog and memory use of a model engine from this instance's requests and
 * the reports of other instances.
 *
 * <p>The time to first token of a new prompt includes the prefill of the prompts already waiting in
 * the engine. Memory is counted as what the running requests occupy when they end; if they exceeded
 * the engine's memory, the engine would preempt some of them.
 */
final class EngineLoad {

    /** The prefill speed during generation, in tokens per ms, as given in the deployment sheet. */
    private static final double PREFILL_TOKENS_PER_MS = 55;

    /** The share of memory for running requests; the rest is left to cached shared parts. */
    private static final double MAX_REQUEST_MEMORY_SHARE = 0.9;

    /**
     * The prefill backlog, in milliseconds, from which on new prompts wait in this instance's fair
     * queue, where the account that has been served least goes first, instead of in the engine. It
     * covers the lag of load reports.
     */
    private static final long MAX_PREFILL_BACKLOG_MS = 400;

    /**
     * The part of the missing time that an instance adds to the backlog; the others with streams on
     * the engine add theirs.
     */
    private static final double MISSING_TIME_WEIGHT = 0.2;

    private final PrefixCacheHints mPrefixHints;
    private final GenerationPace mPace = new GenerationPace();
    private OutputEvents mOutputEvents = new OutputEvents();
    private long mMemoryLimitTokens = Long.MAX_VALUE;
    private double mOwnPrefillMs;
    private long mOwnMemoryTokens;
    private double mOthersPrefillMs;
    private long mOthersMemoryTokens;

    EngineLoad(PrefixCacheHints prefixHints) {
        mPrefixHints = prefixHints;
    }

    void setEngineMemory(long memoryTokens) {
        mMemoryLimitTokens = (long) (memoryTokens * MAX_REQUEST_MEMORY_SHARE);
    }

    void setOutputEvents(OutputEvents outputEvents) {
        mOutputEvents = outputEvents;
    }

    void setLoadOfOthers(double prefillMs, long memoryTokens) {
        mOthersPrefillMs = prefillMs;
        mOthersMemoryTokens = memoryTokens;
    }

    /** Returns the prefill time of the parts of the prompt that are probably not cached, in ms. */
    double prefillMs(PromptDemand prompt, long nowMs) {
        long cachedTokens = mPrefixHints.cachedTokens(prompt, nowMs);
        return Math.max(0, prompt.promptTokens() - cachedTokens) / PREFILL_TOKENS_PER_MS;
    }

    /** Returns the tokens of the shared parts that the engine has probably not cached. */
    long uncachedSharedTokens(PromptDemand prompt, long nowMs) {
        return prompt.sharedTokens() - mPrefixHints.cachedTokens(prompt, nowMs);
    }

    /** Returns the prefill time for which a new prompt waits in the engine, in milliseconds. */
    double prefillBacklogMs() {
        return ownPrefillMs() + mOthersPrefillMs;
    }

    /**
     * Returns how much later than its deadline the prompt's response would end at the engine's
     * recent pace, in milliseconds; 0 if it would end in time or the pace is not known.
     */
    double overrunMs(PromptDemand prompt, long remainingMs, long nowMs) {
        OptionalDouble msPerEvent = mPace.msPerEvent(nowMs);
        OptionalDouble events = mOutputEvents.expectedEvents(prompt.outputTokens());
        if (msPerEvent.isEmpty() || events.isEmpty()) {
            return 0;
        }
        double durationMs =
                prefillBacklogMs()
                        + prefillMs(prompt, nowMs)
                        + events.getAsDouble() * msPerEvent.getAsDouble();
        return Math.max(0, durationMs - remainingMs);
    }

    boolean canAccept(PromptDemand prompt) {
        return fitsInMemory(prompt) && prefillBacklogMs() < MAX_PREFILL_BACKLOG_MS;
    }

    /** Returns whether the prompt fits in memory but the prefill backlog is too long. */
    boolean isBlockedByPrefillBacklog(PromptDemand prompt) {
        return fitsInMemory(prompt) && prefillBacklogMs() >= MAX_PREFILL_BACKLOG_MS;
    }

    private boolean fitsInMemory(PromptDemand prompt) {
        long usedTokens = memoryTokens();
        return usedTokens == 0 || usedTokens + prompt.memoryTokens() <= mMemoryLimitTokens;
    }

    /**
     * Returns the prefill time of this instance's waiting prompts and a part of the time that its
     * running streams lack, in milliseconds. Both keep new prompts out of the engine.
     */
    double ownPrefillMs() {
        return mOwnPrefillMs
                + Math.min(MISSING_TIME_WEIGHT * mPace.missingMs(), MAX_PREFILL_BACKLOG_MS);
    }

    /** Returns the pace of this instance's streams if it was measured within the given time. */
    OptionalDouble msPerEvent(long maxAgeMs, long nowMs) {
        return mPace.msPerEvent(maxAgeMs, nowMs);
    }

    /** Returns the time that the running stream with the least slack lacks, in milliseconds. */
    double missingMs() {
        return mPace.missingMs();
    }

    long memoryTokens() {
        return mOwnMemoryTokens + mOthersMemoryTokens;
    }

    long ownMemoryTokens() {
        return mOwnMemoryTokens;
    }

    /**
     * Adds a request to the estimate; the result releases its load again.
     *
     * @param deadlineMs when the response must have ended
     */
    PromptLoad addPromptLoad(PromptDemand prompt, long deadlineMs, long nowMs) {
        double prefillMs = prefillMs(prompt, nowMs);
        mPrefixHints.markCached(prompt, nowMs);
        mOwnPrefillMs += prefillMs;
        mOwnMemoryTokens += prompt.memoryTokens();
        return new PromptLoad(
                () -> mOwnPrefillMs = Math.max(0, mOwnPrefillMs - prefillMs),
                () -> mOwnMemoryTokens -= prompt.memoryTokens(),
                new StreamProgress(mPace, mOutputEvents, prompt.outputTokens(), deadlineMs));
    }
}
