package org.filbertrudder.gateway.traffic;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Holds what the head of an endpoint's response states about its request limit.
 *
 * @param perSecond the requests per second that the endpoint accepts from all instances together,
 *     if it states a valid limit
 * @param malformed the value of a limit that cannot be parsed, if there is one
 */
public record LimitStatement(OptionalDouble perSecond, Optional<String> malformed) {

    /** States no limit. */
    public static final LimitStatement NONE =
            new LimitStatement(OptionalDouble.empty(), Optional.empty());

    /** Returns the statement of a valid limit. */
    public static LimitStatement of(double perSecond) {
        return new LimitStatement(OptionalDouble.of(perSecond), Optional.empty());
    }

    /** Returns the statement of a limit that cannot be parsed. */
    public static LimitStatement malformed(String value) {
        return new LimitStatement(OptionalDouble.empty(), Optional.of(value));
    }
}
