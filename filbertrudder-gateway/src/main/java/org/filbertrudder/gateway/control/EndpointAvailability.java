package org.filbertrudder.gateway.control;

import org.filbertrudder.model.Endpoint;

/**
 * Describes whether and how an endpoint may be used.
 *
 * @param endpoint the endpoint
 * @param usable whether the endpoint may receive new requests
 * @param coldUntilMs when the warm-up ends, on this instance's steady clock, in milliseconds; in
 *     the past for a warm endpoint
 * @param startedMs when the endpoint's process started, in milliseconds since the epoch; 0 if not
 *     registered
 */
public record EndpointAvailability(
        Endpoint endpoint, boolean usable, long coldUntilMs, long startedMs) {}
