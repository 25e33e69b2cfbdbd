package org.filbertrudder.gateway.config;

import org.filbertrudder.model.Endpoint;

/**
 * Holds the decoded registration of an endpoint.
 *
 * @param endpoint the endpoint
 * @param leaving whether the endpoint accepts no new work
 * @param warmupMs the remaining warm-up time according to the registration, in milliseconds
 * @param startedMs when the endpoint's process started, in milliseconds since the epoch; 0 if not
 *     registered
 * @param sequence increases with the registrations that the process writes
 */
public record EndpointRegistration(
        Endpoint endpoint, boolean leaving, long warmupMs, long startedMs, long sequence) {

    /** Returns whether the endpoint wrote this registration before another one. */
    public boolean isOlderThan(EndpointRegistration other) {
        return startedMs == other.startedMs
                ? sequence < other.sequence
                : startedMs < other.startedMs;
    }
}
