package org.filbertrudder.gateway.traffic;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.filbertrudder.policy.routing.PromptDemand;

/**
 * Holds what a request's head says, apart from how it is spelled.
 *
 * @param requestId the caller's id of this request
 * @param host the host that the caller named
 * @param key the caller's key, if it showed one
 * @param deadlineMs how long the caller waits, in milliseconds from the request's arrival
 * @param tokens the tokens of the prompt and the most output tokens, if the caller tells
 * @param prompt what the request needs of a model engine, if the caller tells
 * @param lastEventId the last event that the caller has of an earlier answer; 0 for none
 * @param passedHeaders the headers that an endpoint may see, by name in lower case
 */
public record RequestHead(
        String requestId,
        String host,
        Optional<String> key,
        OptionalLong deadlineMs,
        Optional<Long> tokens,
        Optional<PromptDemand> prompt,
        long lastEventId,
        Map<String, String> passedHeaders) {

    /** Returns the head as another instance has to act on it, with the time left to the request. */
    RequestHead forwarded(long leftMs) {
        return new RequestHead(
                requestId,
                host,
                Optional.empty(),
                OptionalLong.of(leftMs),
                tokens,
                prompt,
                lastEventId,
                passedHeaders);
    }
}
