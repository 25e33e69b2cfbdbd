package org.filbertrudder.entry.traffic;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import org.filbertrudder.model.Json;

/**
 * Describes an error response that the instance itself creates instead of relaying one.
 *
 * @param status the HTTP status
 * @param code the error code, which is part of the API
 * @param message what is wrong and what the caller can do
 * @param notRun whether it is certain that the request has not run
 * @param retryAfterMs after how many milliseconds a retry makes sense; 0 if it does not
 */
public record Refusal(int status, String code, String message, boolean notRun, long retryAfterMs) {

    private static final long DEFAULT_RETRY_MS = 1_000;

    static Refusal badRequest(String code, String message) {
        return new Refusal(400, code, message, true, 0);
    }

    static Refusal of(int status, String code, String message) {
        return new Refusal(status, code, message, true, 0);
    }

    static Refusal keyMissing() {
        return of(401, "key_missing", "Send your key as 'Authorization: Bearer KEY'.");
    }

    static Refusal keyInvalid() {
        return of(401, "key_invalid", "The key is wrong or withdrawn. Ask your operator for one.");
    }

    static Refusal keyWithdrawn(boolean notRun) {
        return new Refusal(
                401,
                "key_withdrawn",
                "The key was withdrawn during the request. Ask your operator for a new one.",
                notRun,
                0);
    }

    static Refusal rateExceeded(long retryAfterMs) {
        return new Refusal(
                429,
                "rate_exceeded",
                "The client account has exceeded its token rate. Retry later.",
                true,
                retryAfterMs);
    }

    static Refusal exceedsBurst() {
        return of(
                413,
                "exceeds_burst",
                "The request may need more tokens than the account's burst. Shorten the prompt or"
                        + " lower max_tokens.");
    }

    static Refusal overloaded(long retryAfterMs) {
        return new Refusal(
                503,
                "overloaded",
                "The service is overloaded and cannot start the request in time. Retry later.",
                true,
                Math.max(1, retryAfterMs));
    }

    static Refusal unavailable(String message) {
        return new Refusal(503, "unavailable", message, true, DEFAULT_RETRY_MS);
    }

    static Refusal internalError(boolean notRun) {
        return new Refusal(
                500,
                "internal_error",
                "An internal error occurred while processing the request. Retry later.",
                notRun,
                0);
    }

    static Refusal shuttingDown() {
        return unavailable("The instance is shutting down. Send the request to another instance.");
    }

    static Refusal noRegionReachable() {
        return unavailable("No region that may serve the request is reachable. Retry later.");
    }

    static Refusal noRegionAllowed() {
        return of(
                403,
                "no_region_allowed",
                "No region that the account allows runs this service. Ask your operator.");
    }

    static Refusal outcomeUnknown() {
        return new Refusal(
                502,
                "outcome_unknown",
                "The connection to the service failed, so the request may have run. Check whether"
                        + " it did before sending it again.",
                false,
                0);
    }

    static Refusal responseIncomplete() {
        return new Refusal(
                502,
                "answer_incomplete",
                "The response ended early and could not be resumed. Send the request again.",
                false,
                DEFAULT_RETRY_MS);
    }

    static Refusal requestCrashesEndpoints() {
        return new Refusal(
                422,
                "request_crashes",
                "Endpoints crashed while they ran this request. Change the request.",
                false,
                0);
    }

    static Refusal timedOut(boolean notRun) {
        return new Refusal(
                504,
                "timed_out",
                "The request did not complete within its time limit. Retry later or request less.",
                notRun,
                DEFAULT_RETRY_MS);
    }

    /** Returns the JSON body of the error response. */
    public String toJson(String requestId) {
        ObjectNode error = Json.MAPPER.createObjectNode();
        error.put("code", code);
        error.put("message", message);
        error.put("not_run", notRun);
        error.put("request_id", requestId);
        if (retryAfterMs > 0) {
            error.put("retry_after_ms", retryAfterMs);
        }
        ObjectNode body = Json.MAPPER.createObjectNode();
        body.set("error", error);
        return body.toString();
    }

    /** Returns the HTTP headers of the error response. */
    public Map<String, String> headers() {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("content-type", "application/json");
        if (retryAfterMs > 0) {
            headers.put("retry-after", Long.toString((retryAfterMs + 999) / 1000));
        }
        return headers;
    }
}
