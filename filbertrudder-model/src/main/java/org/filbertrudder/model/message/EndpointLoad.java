package org.filbertrudder.model.message;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import org.filbertrudder.model.EndpointId;

/**
 * Describes the load of one or several instances on an endpoint.
 *
 * @param endpoint the endpoint
 * @param requests the number of requests in progress
 * @param prefillMs the prefill time of the requests without a first token, in milliseconds
 * @param memoryTokens the engine memory that the requests need at their full length, in tokens
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"endpoint", "requests", "prefillMs", "memoryTokens"})
public record EndpointLoad(
        EndpointId endpoint, int requests, double prefillMs, long memoryTokens) {}
