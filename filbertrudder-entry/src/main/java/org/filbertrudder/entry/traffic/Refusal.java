package org.filbertrudder.entry.traffic;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import org.filbertrudder.model.Json;

/**
 * Describes why a request gets no answer from an endpoint.
 *
 * @param status the HTTP status
 * @param code the stable name of the reason
 * @param message what is wrong, and the remedy
 * @param notRun whether it is certain that the request has not run
 * @param retryAfterMs when to come back, in milliseconds; 0 if that does not help
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
                "The key was withdrawn meanwhile. Ask your operator for a new one.",
                notRun,
                0);
    }

    static Refusal rateExceeded(long retryAfterMs) {
        return new Refusal(
                429,
                "rate_exceeded",
                "The client account has used up its rate for now. Come back later.",
                true,
                retryAfterMs);
    }

    static Refusal tooLarge() {
        return of(
                413,
                "exceeds_burst",
                "The request needs more tokens than the account's burst. Shorten the prompt or"
                        + " lower max_tokens.");
    }

    static Refusal overloaded(long retryAfterMs) {
        return new Refusal(
                503,
                "overloaded",
                "The service cannot start the request in time. Come back later.",
                true,
                Math.max(1, retryAfterMs));
    }

    static Refusal unavailable(String message) {
        return new Refusal(503, "unavailable", message, true, DEFAULT_RETRY_MS);
    }

    static Refusal regionUnavailable() {
        return unavailable("No region that may serve the request is reachable. Come back later.");
    }

    static Refusal noEndpointAllowed() {
        return of(
                403,
                "no_region_allowed",
                "No region where the account's data may go runs this service. Ask your operator.");
    }

    static Refusal broken() {
        return new Refusal(
                502,
                "outcome_unknown",
                "The connection to the service broke, so the request may have run. Check before"
                        + " sending it again.",
                false,
                0);
    }

    static Refusal incomplete() {
        return new Refusal(
                502,
                "answer_incomplete",
                "The answer broke off and could not be resumed. Send the request again.",
                false,
                DEFAULT_RETRY_MS);
    }

    static Refusal crashing() {
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
                "The request did not end in time. Come back later or ask for less.",
                notRun,
                DEFAULT_RETRY_MS);
    }

    /** Returns the JSON body that tells the caller. */
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

    /** Returns the HTTP headers that go with the body. */
    public Map<String, String> headers() {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("content-type", "application/json");
        if (retryAfterMs > 0) {
            headers.put("retry-after", Long.toString((retryAfterMs + 999) / 1000));
        }
        return headers;
    }
}
