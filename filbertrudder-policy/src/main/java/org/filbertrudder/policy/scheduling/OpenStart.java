package org.filbertrudder.policy.scheduling;

import org.filbertrudder.model.EndpointId;
import org.filbertrudder.policy.routing.PromptDemand;

/**
 * Describes a request that has been sent to an engine and has not ended.
 *
 * @param id identifies the request
 * @param endpoint the engine
 * @param prompt the prompt and the expected output
 * @param begun whether the first event of the response has arrived
 * @param remainingMs the time left until the deadline of the request, in milliseconds
 */
public record OpenStart(
        StartId id, EndpointId endpoint, PromptDemand prompt, boolean begun, long remainingMs) {}
