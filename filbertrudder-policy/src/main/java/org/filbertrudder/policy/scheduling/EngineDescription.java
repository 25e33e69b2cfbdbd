package org.filbertrudder.policy.scheduling;

import org.filbertrudder.model.EndpointId;

/**
 * Describes an engine as the scheduler's instance knows it.
 *
 * @param id identifies the engine
 * @param slots the number of requests that the engine runs at the same time
 * @param memoryTokens the memory for running requests and cached prompt parts, in tokens
 * @param usable whether the engine may get new requests; false if it is cold or leaving
 * @param failing whether the engine has a high failure rate
 */
public record EngineDescription(
        EndpointId id, int slots, long memoryTokens, boolean usable, boolean failing) {}
