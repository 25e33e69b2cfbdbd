package org.filbertrudder.policy.scheduling;

import org.filbertrudder.policy.routing.OutputEvents;

/**
 * Learns the mean speed of the engines of a service, for engines with few samples of their own.
 *
 * <p>Prompt speeds are normalised to pace 100.
 */
final class ServiceSpeed {

    /** The prompt speed of a service without samples, in tokens per millisecond. */
    private static final double INITIAL_TOKENS_PER_MS = 40;

    /** Keeps the mean over the last 100 samples, about four of each of 25 engines. */
    private static final double RETAINED_WEIGHT = 0.99;

    /** The weight of the initial prompt speed, in ms of reading; about two prompts. */
    private static final double INITIAL_SPEED_WEIGHT_MS = 50;

    private final LearnedRatio mTokensPerMs =
            new LearnedRatio(RETAINED_WEIGHT, INITIAL_SPEED_WEIGHT_MS);
    private final LearnedRatio mBaseDelayMs = new LearnedRatio(RETAINED_WEIGHT, 1);
    private final OutputEvents mOutputEvents = new OutputEvents();

    void recordReading(double tokens, double durationMs) {
        mTokensPerMs.add(tokens, durationMs);
    }

    void recordBaseDelay(double delayMs) {
        mBaseDelayMs.add(delayMs, 1);
    }

    /** Returns the mean prompt speed of the engines, in tokens per millisecond. */
    double tokensPerMs() {
        return mTokensPerMs.estimate(INITIAL_TOKENS_PER_MS);
    }

    /** Returns the mean base delay of the engines, in milliseconds. */
    double baseDelayMs() {
        return mBaseDelayMs.estimate(0);
    }

    /** Returns the events that the engines send per output token. */
    OutputEvents outputEvents() {
        return mOutputEvents;
    }
}
