package org.filbertrudder.policy.routing;

/**
 * Limits the prefill backlog of a model engine, so that its running streams can end by their
 * deadlines.
 *
 * <p>An engine reads prompts between the tokens that it generates. The more time its streams lack,
 * the fewer prompts it accepts, and long prompts the latest, as they delay the streams most. Short
 * prompts could fill the engine for ever before a long one, so the own reading time of a prompt
 * counts less the longer it has waited. In the end it needs no more room than the shortest one.
 */
final class PrefillLimit {

    /**
     * The prefill backlog, in milliseconds, from which on new prompts wait in this instance's fair
     * queue, where the account that has been served least goes first, instead of in the engine. It
     * covers the lag of load reports.
     */
    private static final double MAX_BACKLOG_MS = 400;

    /** The prefill backlog that engines accept however much time their streams lack, in ms. */
    private static final double MIN_BACKLOG_MS = 75;

    /** The missing time from which on the limit is the lowest, in milliseconds. */
    private static final double MAX_MISSING_MS = 1_400;

    /**
     * The share of that missing time below which an engine that reads almost nothing accepts a
     * prompt of any length.
     */
    private static final double ANY_LENGTH_SHARE = 0.25;

    /** How often the reading time of a new prompt counts against the limit. */
    private static final double PROMPT_WEIGHT = 3;

    /** The share of the allowed waiting time from which on the reading time counts less. */
    private static final double FULL_WEIGHT_UNTIL_SHARE = 0.9;

    /** The share of the allowed waiting time from which on the reading time does not count. */
    private static final double NO_WEIGHT_FROM_SHARE = 0.95;

    private PrefillLimit() {}

    /**
     * Returns the prefill backlog from which on an engine does not accept a prompt, in
     * milliseconds.
     *
     * @param missingMs the time that the running streams of the engine lack, in milliseconds
     * @param prefillMs the time that the engine needs to read the prompt, in milliseconds
     * @param waitedShare the share of its allowed waiting time that the prompt has waited
     */
    static double backlogMs(double missingMs, double prefillMs, double waitedShare) {
        double closedShare = Math.min(1, missingMs / MAX_MISSING_MS);
        double limitMs = Math.max(MIN_BACKLOG_MS, MAX_BACKLOG_MS * (1 - closedShare));
        double promptMs = PROMPT_WEIGHT * promptWeightShare(waitedShare) * prefillMs;
        double anyLengthMs = MIN_BACKLOG_MS * Math.max(0, 1 - closedShare / ANY_LENGTH_SHARE);
        return Math.max(anyLengthMs, limitMs - promptMs);
    }

    private static double promptWeightShare(double waitedShare) {
        double share =
                (NO_WEIGHT_FROM_SHARE - waitedShare)
                        / (NO_WEIGHT_FROM_SHARE - FULL_WEIGHT_UNTIL_SHARE);
        return Math.max(0, Math.min(1, share));
    }
}
