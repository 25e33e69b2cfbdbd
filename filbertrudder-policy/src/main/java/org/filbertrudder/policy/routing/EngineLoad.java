package org.filbertrudder.policy.routing;

/**
 * Estimates the work before a model engine, from own requests and the reports of other instances.
 *
 * <p>The time to the first token is the time to read the prompts that wait there. The memory is
 * what the running requests will occupy at their end; beyond it the engine would preempt some of
 * them.
 */
final class EngineLoad {

    /** How fast an engine reads prompts while it generates, in tokens per ms (deployment sheet). */
    private static final double PREFILL_TOKENS_PER_MS = 55;

    /** Share of the memory that running requests may fill; the rest keeps shared parts cached. */
    private static final double MEMORY_SHARE = 0.9;

    /**
     * Prompts beyond this reading time wait before the engine instead of in it, where the smallest
     * account goes first; it covers the lag of load reports.
     */
    private static final long MAX_BACKLOG_MS = 400;

    private final PrefixHints mPrefixes;
    private long mMemoryLimitTokens = Long.MAX_VALUE;
    private double mOwnPrefillMs;
    private long mOwnMemoryTokens;
    private double mOthersPrefillMs;
    private long mOthersMemoryTokens;

    EngineLoad(PrefixHints prefixes) {
        mPrefixes = prefixes;
    }

    void setMemoryTokens(long memoryTokens) {
        mMemoryLimitTokens = (long) (memoryTokens * MEMORY_SHARE);
    }

    void reportedByOthers(double prefillMs, long memoryTokens) {
        mOthersPrefillMs = prefillMs;
        mOthersMemoryTokens = memoryTokens;
    }

    /** Returns the time to read the parts of the prompt that are probably not cached there. */
    double prefillMs(PromptDemand prompt, long nowMs) {
        long cached = sharedTokens(prompt) - missingSharedTokens(prompt, nowMs);
        return Math.max(0, prompt.promptTokens() - cached) / PREFILL_TOKENS_PER_MS;
    }

    /** Returns the tokens of the shared parts that are probably not cached there. */
    long missingSharedTokens(PromptDemand prompt, long nowMs) {
        long cached = 0;
        for (PromptPart part : prompt.sharedParts()) {
            if (!mPrefixes.contains(part.id(), nowMs)) {
                break;
            }
            cached += part.tokens();
        }
        return sharedTokens(prompt) - cached;
    }

    private static long sharedTokens(PromptDemand prompt) {
        return prompt.sharedParts().stream().mapToLong(PromptPart::tokens).sum();
    }

    double backlogMs() {
        return mOwnPrefillMs + mOthersPrefillMs;
    }

    boolean hasRoom(PromptDemand prompt) {
        return fits(prompt) && backlogMs() < MAX_BACKLOG_MS;
    }

    /** Returns whether the prompt fits in the memory but has to wait until others are read. */
    boolean isReading(PromptDemand prompt) {
        return fits(prompt) && backlogMs() >= MAX_BACKLOG_MS;
    }

    private boolean fits(PromptDemand prompt) {
        long used = memoryTokens();
        return used == 0 || used + prompt.memoryTokens() <= mMemoryLimitTokens;
    }

    double ownPrefillMs() {
        return mOwnPrefillMs;
    }

    long memoryTokens() {
        return mOwnMemoryTokens + mOthersMemoryTokens;
    }

    long ownMemoryTokens() {
        return mOwnMemoryTokens;
    }

    /** Adds a request; the result ends its part of the estimate. */
    PromptRun start(PromptDemand prompt, long nowMs) {
        double prefillMs = prefillMs(prompt, nowMs);
        prompt.sharedParts().forEach(part -> mPrefixes.stored(part.id(), nowMs));
        mOwnPrefillMs += prefillMs;
        mOwnMemoryTokens += prompt.memoryTokens();
        return new PromptRun(
                () -> mOwnPrefillMs = Math.max(0, mOwnPrefillMs - prefillMs),
                () -> mOwnMemoryTokens -= prompt.memoryTokens());
    }
}
