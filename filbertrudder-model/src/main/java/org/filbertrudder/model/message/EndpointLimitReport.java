package org.filbertrudder.model.message;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import org.filbertrudder.model.EndpointId;

/**
 * Describes the latest response of an endpoint with regard to its request limit.
 *
 * @param endpoint the endpoint
 * @param perSecond the limit in requests per second; null if the endpoint no longer has one
 * @param sentAgeMs the time since the request was sent, in milliseconds
 * @param receivedAgeMs the time since the response arrived, in milliseconds
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"endpoint", "perSecond", "sentAgeMs", "receivedAgeMs"})
public record EndpointLimitReport(
        EndpointId endpoint, Double perSecond, long sentAgeMs, long receivedAgeMs) {}
