package org.filbertrudder.policy.routing;

/**
 * Limits the prefill backlog of a model engine, so that its running streams can end by their
 * deadlines.
 *
 * <p>An engine reads prompts between the tokens that it generates. The more time its streams lack,
 * the fewer prompts it accepts. Shared parts that another engine has cached or should cache delay
 * the streams for nothing and count several times; the rest of a prompt counts alike for all
 * lengths, so that long prompts are not kept out by short ones.
 */
final class PrefillLimit {

    /**
     * The prefill backlog, in milliseconds, from which on new prompts wait in this instance's fair
     * queue, where the account that has been served least goes first, instead of in the engine. It
     * covers the lag of load reports.
     */
    private static final double MAX_BACKLOG_MS = 400;

    /** The prefill backlog that engines accept however much time their streams lack, in ms. */
    private static final double MIN_BACKLOG_MS = 40;

    /** The backlog that is added for a prompt at the end of its waiting time, in milliseconds. */
    private static final double WAITED_BACKLOG_MS = 80;

    /** The missing time from which on the limit is the lowest, in milliseconds. */
    private static final double MAX_MISSING_MS = 1_400;

    /** The missing time below which an engine that reads almost nothing accepts any prompt. */
    private static final double ANY_PROMPT_MISSING_MS = 14;

    /** How often the time to read shared parts redundantly counts against the limit. */
    private static final double REDUNDANT_WEIGHT = 6;

    private PrefillLimit() {}

    /**
     * Returns the prefill backlog from which on an engine does not accept a prompt, in
     * milliseconds.
     *
     * @param missingMs the time that the running streams of the engine lack, in milliseconds
     * @param redundantMs the time to read shared parts that belong on another engine, in
     *     milliseconds
     * @param waitedShare the share of its allowed waiting time that the prompt has waited
     */
    static double backlogMs(double missingMs, double redundantMs, double waitedShare) {
        double closedShare = Math.min(1, missingMs / MAX_MISSING_MS);
        double waited = Math.max(0, Math.min(1, waitedShare));
        double limitMs =
                Math.max(MIN_BACKLOG_MS, MAX_BACKLOG_MS * (1 - closedShare))
                        + WAITED_BACKLOG_MS * waited * waited;
        double anyPromptMs = MIN_BACKLOG_MS * Math.max(0, 1 - missingMs / ANY_PROMPT_MISSING_MS);
        return Math.max(anyPromptMs, limitMs - REDUNDANT_WEIGHT * redundantMs);
    }
}
