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

    private final PrefixCacheHints mPrefixHints;
    private final GenerationPace mPace = new GenerationPace();
    private OutputEvents mOutputEvents = new OutputEvents();
    private long mMemoryLimitTokens = Long.MAX_VALUE;
    private double mOwnPrefillMs;
    private long mOwnMemoryTokens;
    private double mOthersPrefillMs;
    private long mOthersMemoryTokens;
    private double mOthersMissingMs;

    EngineLoad(PrefixCacheHints prefixHints) {
        mPrefixHints = prefixHints;
    }

    void setEngineMemory(long memoryTokens) {
        mMemoryLimitTokens = (long) (memoryTokens * MAX_REQUEST_MEMORY_SHARE);
    }

    void setOutputEvents(OutputEvents outputEvents) {
        mOutputEvents = outputEvents;
    }

    void setLoadOfOthers(double prefillMs, long memoryTokens, double missingMs) {
        mOthersPrefillMs = prefillMs;
        mOthersMemoryTokens = memoryTokens;
        mOthersMissingMs = missingMs;
    }

    /** Returns the prefill time of the parts of the prompt that are probably not cached, in ms. */
    double prefillMs(PromptDemand prompt, long nowMs) {
        long cachedTokens = sharedTokens(prompt) - uncachedSharedTokens(prompt, nowMs);
        return Math.max(0, prompt.promptTokens() - cachedTokens) / PREFILL_TOKENS_PER_MS;
    }

    /** Returns the tokens of the shared parts that the engine has probably not cached. */
    long uncachedSharedTokens(PromptDemand prompt, long nowMs) {
        long cachedTokens = 0;
        for (PromptPart part : prompt.sharedParts()) {
            if (!mPrefixHints.contains(part.id(), nowMs)) {
                break;
            }
            cachedTokens += part.tokens();
        }
        return sharedTokens(prompt) - cachedTokens;
    }

    private static long sharedTokens(PromptDemand prompt) {
        return prompt.sharedParts().stream().mapToLong(PromptPart::tokens).sum();
    }

    /** Returns the prefill time for which a new prompt waits in the engine, in milliseconds. */
    double prefillBacklogMs() {
        return mOwnPrefillMs + mOthersPrefillMs;
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

    /**
     * Returns whether the engine can accept the prompt now.
     *
     * @param preferred whether the engine is the one that should cache the prompt's shared parts
     * @param waitedShare the share of its allowed waiting time that the prompt has waited
     */
    boolean canAccept(PromptDemand prompt, boolean preferred, double waitedShare, long nowMs) {
        return fitsInMemory(prompt) && !isBacklogTooLong(prompt, preferred, waitedShare, nowMs);
    }

    /** Returns whether the prompt fits in memory but the prefill backlog is too long. */
    boolean isBlockedByPrefillBacklog(
            PromptDemand prompt, boolean preferred, double waitedShare, long nowMs) {
        return fitsInMemory(prompt) && isBacklogTooLong(prompt, preferred, waitedShare, nowMs);
    }

    private boolean isBacklogTooLong(
            PromptDemand prompt, boolean preferred, double waitedShare, long nowMs) {
        double redundantMs =
                preferred ? 0 : uncachedSharedTokens(prompt, nowMs) / PREFILL_TOKENS_PER_MS;
        return prefillBacklogMs() >= PrefillLimit.backlogMs(missingMs(), redundantMs, waitedShare);
    }

    private boolean fitsInMemory(PromptDemand prompt) {
        long usedTokens = memoryTokens();
        return usedTokens == 0 || usedTokens + prompt.memoryTokens() <= mMemoryLimitTokens;
    }

    /** Returns the prefill time of this instance's waiting prompts, in milliseconds. */
    double ownPrefillMs() {
        return mOwnPrefillMs;
    }

    /** Returns the longest time that a stream of any instance lacks, in milliseconds. */
    double missingMs() {
        return Math.max(mPace.missingMs(), mOthersMissingMs);
    }

    /** Returns the longest time that a stream of this instance lacks, in milliseconds. */
    double ownMissingMs() {
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
        prompt.sharedParts().forEach(part -> mPrefixHints.markCached(part.id(), nowMs));
        mOwnPrefillMs += prefillMs;
        mOwnMemoryTokens += prompt.memoryTokens();
        return new PromptLoad(
                () -> mOwnPrefillMs = Math.max(0, mOwnPrefillMs - prefillMs),
                () -> mOwnMemoryTokens -= prompt.memoryTokens(),
                new StreamProgress(mPace, mOutputEvents, prompt.outputTokens(), deadlineMs));
    }
}
