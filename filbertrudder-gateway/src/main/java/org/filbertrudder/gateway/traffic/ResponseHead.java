package org.filbertrudder.gateway.traffic;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Holds the contents of the head of an endpoint's response.
 *
 * @param status the HTTP status
 * @param requestId the id of the request that the response belongs to, if the endpoint states it
 * @param notRun whether the endpoint states that it has not executed the request
 * @param signed whether the response carries an endpoint's signature
 * @param bodyEncoded whether the body has a content coding, so that it differs from the bytes that
 *     the endpoint produced
 * @param leaving whether the endpoint announces its shutdown
 * @param retryAfterMs for how long the endpoint asks to receive no requests, in milliseconds, if it
 *     states this
 * @param limit what the endpoint states about the requests per second that it accepts
 * @param load what the endpoint states about its load, if it does
 * @param keepAliveMs how long the endpoint keeps an idle connection open, in milliseconds, if it
 *     states this
 * @param passedHeaders the headers to pass on to the caller, by lower-case name
 * @param unknownHeaders the lower-case names of headers that the protocol does not know
 */
public record ResponseHead(
        int status,
        Optional<String> requestId,
        boolean notRun,
        boolean signed,
        boolean bodyEncoded,
        boolean leaving,
        OptionalLong retryAfterMs,
        LimitStatement limit,
        Optional<LoadStatement> load,
        OptionalLong keepAliveMs,
        Map<String, String> passedHeaders,
        Set<String> unknownHeaders) {

    private static final int STATUS_UNAVAILABLE = 503;
    private static final String EVENT_STREAM = "text/event-stream";

    /** Returns whether the status is 2xx. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /** Returns whether the response states no content type, or that of a stream of events. */
    public boolean mayBeEventStream() {
        return passedHeaders
                .getOrDefault("content-type", EVENT_STREAM)
                .toLowerCase(Locale.ROOT)
                .startsWith(EVENT_STREAM);
    }

    /**
     * Returns for how long the endpoint asks to receive no requests, in milliseconds. Empty unless
     * the status is 503 and carries a retry time.
     */
    public OptionalLong pauseMs() {
        return status == STATUS_UNAVAILABLE ? retryAfterMs : OptionalLong.empty();
    }

    /** Returns whether the status is 5xx. */
    public boolean isServerError() {
        return status >= 500;
    }
}
