package org.filbertrudder.gateway.traffic;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/** Marks, between instances, answers that the other instance itself has given. */
final class ForwardHeaders {

    private static final String NOT_RUN = "x-not-run";
    private static final String RETRY_AFTER_MS = "x-retry-after-ms";
    private static final String REFUSAL_CODE = "x-own-answer";

    private ForwardHeaders() {}

    /** Returns the headers of an answer that an instance itself has given. */
    static Map<String, String> forRefusal(Refusal refusal) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put(REFUSAL_CODE, refusal.code());
        if (refusal.notRun()) {
            headers.put(NOT_RUN, "1");
        }
        headers.put(RETRY_AFTER_MS, Long.toString(refusal.retryAfterMs()));
        return headers;
    }

    /** Reads the head of a forwarded request's answer. */
    static AnswerHead readResponse(String requestId, int status, Map<String, String> headers) {
        boolean refused = headers.containsKey(REFUSAL_CODE);
        return new AnswerHead(
                status,
                Optional.of(requestId),
                headers.containsKey(NOT_RUN),
                !refused,
                false,
                false,
                OptionalLong.empty(),
                OptionalInt.empty(),
                OptionalLong.empty(),
                headers);
    }
}
