package org.filbertrudder.gateway.control;

import org.filbertrudder.model.Endpoint;

/**
 * Tells how an endpoint may be used.
 *
 * @param endpoint the endpoint
 * @param usable whether it may get new requests
 * @param coldUntilMs when it is warm, on the instance's clock; in the past if it is
 * @param startedMs when its process started, in milliseconds since the epoch; 0 if it does not say
 */
public record EndpointView(Endpoint endpoint, boolean usable, long coldUntilMs, long startedMs) {}
