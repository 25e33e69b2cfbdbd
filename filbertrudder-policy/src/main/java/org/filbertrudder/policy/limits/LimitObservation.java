package org.filbertrudder.policy.limits;

import java.util.OptionalDouble;

/**
 * Describes what a response said about the request limit of an endpoint.
 *
 * <p>The endpoint wrote the response at some time between the sending of the request and the
 * arrival of the response, so two observations can only be ordered if these intervals are disjoint.
 *
 * @param perSecond the limit in requests per second; empty if the response stated none
 * @param sentMs when the request was sent
 * @param receivedMs when the response arrived
 */
public record LimitObservation(OptionalDouble perSecond, long sentMs, long receivedMs) {

    /**
     * Returns the observation that applies after both: the later one or, if the order is unknown,
     * the one with the lower limit.
     */
    public LimitObservation merge(LimitObservation other) {
        if (other.sentMs >= receivedMs) {
            return other;
        }
        if (sentMs >= other.receivedMs) {
            return this;
        }
        return other.limitOrInfinity() < limitOrInfinity() ? other : this;
    }

    private double limitOrInfinity() {
        return perSecond.orElse(Double.POSITIVE_INFINITY);
    }
}
