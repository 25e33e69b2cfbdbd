package org.filbertrudder.scenarios;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import org.filbertrudder.model.Json;

/**
 * Holds the response to an HTTP request.
 *
 * @param status the HTTP status; 0 if the connection failed
 * @param headers the headers, with names in lower case
 * @param body the body as text
 */
public record Reply(int status, Map<String, String> headers, String body) {

    /** Returns the body as JSON. */
    public JsonNode json() {
        return Json.read(body, JsonNode.class);
    }

    /** Returns the error code of a rejected request; empty if the body holds no error. */
    public String errorCode() {
        return body.startsWith("{") ? json().path("error").path("code").asText("") : "";
    }

    /** Returns whether the error states that the request was not executed. */
    public boolean reportsNotRun() {
        return body.startsWith("{") && json().path("error").path("not_run").asBoolean(false);
    }
}
