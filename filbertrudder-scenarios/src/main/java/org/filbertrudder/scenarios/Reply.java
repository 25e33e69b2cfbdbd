package org.filbertrudder.scenarios;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import org.filbertrudder.model.Json;

/**
 * Holds the answer to a request.
 *
 * @param status the HTTP status; 0 if the connection broke
 * @param headers the headers, with names in lower case
 * @param body the body as text
 */
public record Reply(int status, Map<String, String> headers, String body) {

    /** Returns the body as JSON. */
    public JsonNode json() {
        return Json.read(body, JsonNode.class);
    }

    /** Returns the code of a refusal; empty if there is none. */
    public String code() {
        return body.startsWith("{") ? json().path("error").path("code").asText("") : "";
    }

    /** Returns whether a refusal says that the request has not run. */
    public boolean saysNotRun() {
        return body.startsWith("{") && json().path("error").path("not_run").asBoolean(false);
    }
}
