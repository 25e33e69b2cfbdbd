package org.filbertrudder.policy.routing;

import java.util.OptionalDouble;

/**
 * Learns from completed streams how many events the engines of a service send per output token.
 *
 * <p>Engines put several tokens into one event, and the output tokens of a request are an estimate
 * of its caller.
 */
public final class OutputEvents {

    /** The weight that earlier streams keep when another one completes. */
    private static final double RETAINED_WEIGHT = 0.99;

    /** Limits the influence of a caller that states far more tokens than it gets. */
    private static final long MAX_TOKENS_PER_EVENT = 64;

    private double mEvents;
    private double mTokens;

    /** Records a completed stream and the output tokens that were expected of it. */
    public void recordCompleted(long expectedTokens, long events) {
        long plausibleTokens =
                Math.max(events, Math.min(expectedTokens, MAX_TOKENS_PER_EVENT * events));
        mEvents = RETAINED_WEIGHT * mEvents + events;
        mTokens = RETAINED_WEIGHT * mTokens + plausibleTokens;
    }

    /** Returns the expected number of events; empty until a stream has completed. */
    public OptionalDouble expectedEvents(long outputTokens) {
        return mTokens > 0
                ? OptionalDouble.of(outputTokens * mEvents / mTokens)
                : OptionalDouble.empty();
    }
}
