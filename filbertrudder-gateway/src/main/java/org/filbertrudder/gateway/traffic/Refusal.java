package org.filbertrudder.gateway.traffic;

import org.filbertrudder.model.Json;

/**
 * Describes a final answer of the gateway itself.
 *
 * @param status the HTTP status
 * @param code names the reason
 * @param message what is wrong, and the remedy
 * @param notRun whether the request has certainly not run
 * @param retryAfterMs when to come back, in milliseconds; 0 if that does not help
 */
record Refusal(int status, String code, String message, boolean notRun, long retryAfterMs) {

    private static final long DEFAULT_RETRY_AFTER_MS = 500;

    static Refusal malformed(String message) {
        return new Refusal(400, "malformed_request", message, true, 0);
    }

    static Refusal unauthorized() {
        return new Refusal(401, "unknown_key", "Show a valid key as a bearer token.", true, 0);
    }

    static Refusal noRoute() {
        return new Refusal(404, "unknown_route", "No route has this host and path.", true, 0);
    }

    static Refusal bodyTooLong(long limit) {
        return new Refusal(
                413, "body_too_long", "Send a body of at most " + limit + " bytes.", true, 0);
    }

    static Refusal headTooLong(long limit) {
        return new Refusal(
                431, "head_too_long", "Send a head of at most " + limit + " bytes.", true, 0);
    }

    static Refusal unknownTransferCoding() {
        return new Refusal(
                501, "unknown_coding", "Send the body with a length or in chunks.", true, 0);
    }

    static Refusal notReady() {
        return new Refusal(
                503,
                "not_ready",
                "No configuration is known here yet. Retry.",
                true,
                DEFAULT_RETRY_AFTER_MS);
    }

    static Refusal stateOutdated() {
        return new Refusal(
                503,
                "state_outdated",
                "The keys known here are not confirmed. Retry, best at another instance.",
                true,
                DEFAULT_RETRY_AFTER_MS);
    }

    static Refusal stopping() {
        return new Refusal(
                503,
                "stopping",
                "This instance stops. Retry at another one.",
                true,
                DEFAULT_RETRY_AFTER_MS);
    }

    static Refusal rateExceeded(long retryAfterMs) {
        return new Refusal(
                429,
                "rate_exceeded",
                "The account has used its rate and burst. Retry later.",
                true,
                retryAfterMs);
    }

    static Refusal largerThanBurst() {
        return new Refusal(
                429, "larger_than_burst", "The request exceeds the account's burst.", true, 0);
    }

    static Refusal overloaded(long retryAfterMs) {
        return new Refusal(
                503, "overloaded", "All endpoints are busy. Retry later.", true, retryAfterMs);
    }

    static Refusal unavailable() {
        return new Refusal(
                503,
                "unavailable",
                "No endpoint can serve this now. Retry.",
                true,
                DEFAULT_RETRY_AFTER_MS);
    }

    /** Refuses a request while all endpoints that could serve it have asked for a pause. */
    static Refusal endpointsPausing(long retryAfterMs) {
        return new Refusal(
                503,
                "endpoints_pausing",
                "All endpoints want a pause. Retry after it.",
                true,
                retryAfterMs);
    }

    /** Refuses a request that no region may serve, now or later. */
    static Refusal noCommonHome() {
        return new Refusal(
                503,
                "no_common_home",
                "The route and the account have no home in common. Ask the operators.",
                true,
                0);
    }

    static Refusal crashingRequest() {
        return new Refusal(422, "crashing_request", "Endpoints crash under this request.", true, 0);
    }

    /** Ends a request that may have run without a usable answer. */
    static Refusal incompleteResponse() {
        return new Refusal(502, "answer_lost", "The endpoint gave no whole answer.", false, 0);
    }

    /** Ends a request whose time is over. */
    static Refusal timedOut(boolean notRun) {
        return notRun
                ? new Refusal(
                        503,
                        "timed_out",
                        "No endpoint was free in time.",
                        true,
                        DEFAULT_RETRY_AFTER_MS)
                : new Refusal(504, "timed_out", "The endpoint gave no answer in time.", false, 0);
    }

    /** Returns whether the request's body may not have been read, so the connection must end. */
    boolean leavesBodyUnread() {
        return status == 413 || status == 501;
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
