package org.filbertrudder.gateway.traffic;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Holds what the head of an endpoint's answer says.
 *
 * @param status the HTTP status
 * @param requestId the id of the request that is answered, if the endpoint tells
 * @param notRun whether the endpoint states that it has not run the request
 * @param signed whether the answer bears an endpoint's signature
 * @param encoded whether the body is not the endpoint's own bytes
 * @param requests the requests that the endpoint runs or holds waiting, if it tells
 * @param keepAliveMs how long the endpoint keeps the connection open, if it tells, in milliseconds
 * @param passedHeaders the headers that the caller may see, by name in lower case
 */
public record AnswerHead(
        int status,
        Optional<String> requestId,
        boolean notRun,
        boolean signed,
        boolean encoded,
        OptionalInt requests,
        OptionalLong keepAliveMs,
        Map<String, String> passedHeaders) {

    /** Returns whether the endpoint answered with success. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /** Returns whether the endpoint failed while it ran the request. */
    public boolean isServerError() {
        return status >= 500;
    }
}
