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
 */
public record EndpointRegistration(
        Endpoint endpoint, boolean leaving, long warmupMs, long startedMs) {}
