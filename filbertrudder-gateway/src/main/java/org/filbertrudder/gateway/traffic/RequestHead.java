package org.filbertrudder.gateway.traffic;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.filbertrudder.policy.routing.PromptDemand;

/**
 * Holds the contents of a request's head, independent of the header names of a deployment.
 *
 * @param requestId the id that the caller assigned to the request
 * @param host the host that the caller addressed
 * @param apiKey the caller's API key, if the request carries one
 * @param deadlineMs how long the caller waits for the response, in milliseconds from the request's
 *     arrival
 * @param tokens the prompt tokens plus the maximum output tokens, if the caller states them
 * @param promptDemand the demand on a model engine, if the caller states it
 * @param lastEventId the id of the last event that the caller received of an earlier response; 0
 *     for none
 * @param passedHeaders the headers to pass on to the endpoint, by lower-case name
 */
public record RequestHead(
        String requestId,
        String host,
        Optional<String> apiKey,
        OptionalLong deadlineMs,
        Optional<Long> tokens,
        Optional<PromptDemand> promptDemand,
        long lastEventId,
        Map<String, String> passedHeaders) {

    /**
     * Returns the head of a forwarded request: without the API key, and with the remaining time as
     * its deadline.
     */
    RequestHead forwarded(long remainingMs) {
        return new RequestHead(
                requestId,
                host,
                Optional.empty(),
                OptionalLong.of(remainingMs),
                tokens,
                promptDemand,
                lastEventId,
                passedHeaders);
    }
}
