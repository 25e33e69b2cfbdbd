package org.filbertrudder.policy.routing;

import java.util.OptionalDouble;

/**
 * Learns from completed streams how many events the engines of a service send per output token.
 *
 * <p>Engines put several tokens into one event, and the output tokens of a request are an estimate
 * of its caller.
 */
final class OutputEvents {

    /** The weight that earlier streams keep when another one completes. */
    private static final double RETAINED_WEIGHT = 0.99;

    private double mEvents;
    private double mTokens;

    /** Records a completed stream and the output tokens that were expected of it. */
    void recordCompleted(long expectedTokens, long events) {
        mEvents = RETAINED_WEIGHT * mEvents + events;
        mTokens = RETAINED_WEIGHT * mTokens + expectedTokens;
    }

    /** Returns the expected number of events; empty until a stream has completed. */
    OptionalDouble expectedEvents(long outputTokens) {
        return mTokens > 0
                ? OptionalDouble.of(outputTokens * mEvents / mTokens)
                : OptionalDouble.empty();
    }
}
