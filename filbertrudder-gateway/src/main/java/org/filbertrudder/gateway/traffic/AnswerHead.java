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
 * @param leaving whether the endpoint announces that it leaves
 * @param retryAfterMs for how long the endpoint wants no requests, if it tells, in milliseconds
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
        boolean leaving,
        OptionalLong retryAfterMs,
        OptionalInt requests,
        OptionalLong keepAliveMs,
        Map<String, String> passedHeaders) {

    private static final int STATUS_UNAVAILABLE = 503;

    /** Returns whether the endpoint answered with success. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /**
     * Returns for how long the endpoint wants no requests, in milliseconds, if it asks for that.
     */
    public OptionalLong pauseMs() {
        return status == STATUS_UNAVAILABLE ? retryAfterMs : OptionalLong.empty();
    }

    /** Returns whether the endpoint failed while it ran the request. */
    public boolean isServerError() {
        return status >= 500;
    }
}
