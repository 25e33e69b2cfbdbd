package org.filbertrudder.gateway.config;

/**
 * Holds the capacity of each model engine of a service.
 *
 * @param slots the number of requests that an engine runs in one batch
 * @param memoryTokens the KV cache capacity in tokens, shared by running requests and cached prompt
 *     parts
 */
public record EngineCapacity(int slots, long memoryTokens) {}
