package org.filbertrudder.gateway.config;

/**
 * Describes the model engines of a service.
 *
 * @param slots the requests that an engine runs in one batch
 * @param memoryTokens the tokens that running requests and cached prompt parts share
 */
public record EngineRule(int slots, long memoryTokens) {}
