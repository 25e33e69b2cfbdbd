package org.filbertrudder.gateway.traffic;

import org.filbertrudder.model.Json;

/**
 * Describes a final response that the gateway itself generates instead of an endpoint.
 *
 * @param status the HTTP status
 * @param code the machine-readable reason
 * @param message the error and its remedy, for the caller
 * @param notRun whether the request has certainly not been executed
 * @param retryAfterMs the time after which to retry, in milliseconds; 0 if a retry does not help
 */
record GatewayRefusal(int status, String code, String message, boolean notRun, long retryAfterMs) {

    private static final long DEFAULT_RETRY_AFTER_MS = 500;

    static GatewayRefusal malformed(String message) {
        return new GatewayRefusal(400, "malformed_request", message, true, 0);
    }

    static GatewayRefusal unauthorized() {
        return new GatewayRefusal(
                401, "unknown_key", "Send a valid key as a bearer token.", true, 0);
    }

    static GatewayRefusal noRoute() {
        return new GatewayRefusal(
                404, "unknown_route", "No route matches this host and path.", true, 0);
    }

    static GatewayRefusal bodyTooLong(long limit) {
        return new GatewayRefusal(
                413,
                "body_too_long",
                "The body is too long. Send at most " + limit + " bytes.",
                true,
                0);
    }

    static GatewayRefusal requestTooSlow() {
        return new GatewayRefusal(
                408,
                "request_too_slow",
                "The request did not arrive in time. Send it again, faster.",
                true,
                0);
    }

    static GatewayRefusal headTooLong(long limit) {
        return new GatewayRefusal(
                431,
                "head_too_long",
                "The head is too long. Send at most " + limit + " bytes.",
                true,
                0);
    }

    static GatewayRefusal unknownTransferCoding() {
        return new GatewayRefusal(
                501,
                "unknown_coding",
                "Send the body with 'Content-Length' or as 'Transfer-Encoding: chunked'.",
                true,
                0);
    }

    /** Ends a request whose handling has raised an exception. */
    static GatewayRefusal internalError(boolean notRun) {
        return new GatewayRefusal(
                500,
                "internal_error",
                "An internal error occurred while handling the request. Retry.",
                notRun,
                0);
    }

    static GatewayRefusal notReady() {
        return new GatewayRefusal(
                503,
                "not_ready",
                "This instance has not loaded a configuration yet. Retry.",
                true,
                DEFAULT_RETRY_AFTER_MS);
    }

    static GatewayRefusal stateOutdated() {
        return new GatewayRefusal(
                503,
                "state_outdated",
                "This instance cannot confirm its state. Retry, preferably at another one.",
                true,
                DEFAULT_RETRY_AFTER_MS);
    }

    static GatewayRefusal stopping() {
        return new GatewayRefusal(
                503,
                "stopping",
                "This instance is shutting down. Retry at another instance.",
                true,
                DEFAULT_RETRY_AFTER_MS);
    }

    static GatewayRefusal rateExceeded(long retryAfterMs) {
        return new GatewayRefusal(
                429,
                "rate_exceeded",
                "The account has exhausted its rate and burst. Retry later.",
                true,
                retryAfterMs);
    }

    static GatewayRefusal largerThanBurst() {
        return new GatewayRefusal(
                429,
                "larger_than_burst",
                "The request costs more tokens than the account's burst.",
                true,
                0);
    }

    static GatewayRefusal overloaded(long retryAfterMs) {
        return new GatewayRefusal(
                503,
                "overloaded",
                "All endpoints are at capacity. Retry later.",
                true,
                retryAfterMs);
    }

    /** Refuses a request whose head finds no memory beside those of others. */
    static GatewayRefusal headsOverloaded(long retryAfterMs) {
        return new GatewayRefusal(
                503,
                "overloaded",
                "This instance has no memory for the head at present. Retry later.",
                true,
                retryAfterMs);
    }

    static GatewayRefusal unavailable() {
        return unavailable(DEFAULT_RETRY_AFTER_MS);
    }

    /** Refuses a request that no endpoint can serve; a time of 0 stands for the default. */
    static GatewayRefusal unavailable(long retryAfterMs) {
        return new GatewayRefusal(
                503,
                "unavailable",
                "No endpoint can serve this request now. Retry.",
                true,
                retryAfterMs > 0 ? retryAfterMs : DEFAULT_RETRY_AFTER_MS);
    }

    /** Refuses a request while all endpoints that could serve it have requested a pause. */
    static GatewayRefusal endpointsPausing(long retryAfterMs) {
        return new GatewayRefusal(
                503,
                "endpoints_pausing",
                "All endpoints have requested a pause. Retry after it.",
                true,
                retryAfterMs);
    }

    /** Refuses a request while the limits of all endpoints that could serve it are used up. */
    static GatewayRefusal endpointsLimited(long retryAfterMs) {
        return new GatewayRefusal(
                503,
                "endpoints_limited",
                "All endpoints limit their requests. Retry after the given time.",
                true,
                retryAfterMs);
    }

    /** Refuses a request that no region is allowed to serve under the current configuration. */
    static GatewayRefusal noCommonRegion() {
        return new GatewayRefusal(
                503,
                "no_common_home",
                "The route and the account have no home in common. Contact the operators.",
                true,
                0);
    }

    static GatewayRefusal crashingRequest() {
        return new GatewayRefusal(
                422, "crashing_request", "Endpoints crashed while running this request.", true, 0);
    }

    /** Refuses a request for good whose prompt has a part that crashes endpoints. */
    static GatewayRefusal crashingPart(boolean notRun) {
        return new GatewayRefusal(
                422,
                "crashing_part",
                "A part of the prompt crashes endpoints. Leave it out or contact the operators.",
                notRun,
                0);
    }

    /** Ends a request that may have been executed but has no usable response. */
    static GatewayRefusal incompleteResponse() {
        return new GatewayRefusal(
                502, "answer_lost", "The endpoint returned no complete response.", false, 0);
    }

    /** Ends a request that has reached its deadline. */
    static GatewayRefusal timedOut(boolean notRun) {
        return notRun
                ? new GatewayRefusal(
                        503,
                        "timed_out",
                        "No endpoint had capacity before the deadline.",
                        true,
                        DEFAULT_RETRY_AFTER_MS)
                : new GatewayRefusal(
                        504,
                        "timed_out",
                        "The endpoint did not respond before the deadline.",
                        false,
                        0);
    }

    /**
     * Returns whether the request's body may be partly unread, so that the connection must be
     * closed.
     */
    boolean leavesBodyUnread() {
        return status == 408 || status == 413 || status == 501;
    }

    String body() {
        return Json.MAPPER
                .createObjectNode()
                .put("code", code)
                .put("message", message)
                .put("not_run", notRun)
                .toString();
    }
}
