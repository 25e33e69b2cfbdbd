package org.filbertrudder.gateway.control;

import org.filbertrudder.model.Endpoint;

/**
 * Tells how an endpoint may be used.
 *
 * @param endpoint the endpoint
 * @param usable whether it may get new requests
 * @param coldUntilMs when it is warm, on the instance's clock; in the past if it is
 */
public record EndpointView(Endpoint endpoint, boolean usable, long coldUntilMs) {}
