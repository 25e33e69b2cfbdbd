package org.filbertrudder.gateway.config;

import org.filbertrudder.model.Endpoint;

/**
 * Holds what an endpoint has registered of itself.
 *
 * @param endpoint the endpoint's description
 * @param leaving whether it takes no new work
 * @param warmupMs how much longer it stays cold, as of the registration, in milliseconds
 * @param startedMs when its process started, in milliseconds since the epoch; 0 if it does not say
 */
public record EndpointEntry(Endpoint endpoint, boolean leaving, long warmupMs, long startedMs) {}
