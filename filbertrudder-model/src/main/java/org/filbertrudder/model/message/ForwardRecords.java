package org.filbertrudder.model.message;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/** Defines the parts of messages about forwarded requests. */
public final class ForwardRecords {

    private ForwardRecords() {}

    /**
     * States that the receiver of a forwarded request has refused it.
     *
     * @param code the reason, for logs
     * @param notRun whether the request has not run and will not run
     * @param retryAfterMs the delay before a retry, in milliseconds; 0 if none is stated
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"code", "notRun", "retryAfterMs"})
    public record Refusal(String code, boolean notRun, long retryAfterMs) {}

    /**
     * A forwarded request whose sender waits for the rest of the response.
     *
     * @param stream the id of the exchange
     * @param receivedParts the number of messages of the response that the sender has received
     * @param creditedBytes the credit granted so far, in bytes
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"stream", "receivedParts", "creditedBytes"})
    public record Open(long stream, int receivedParts, long creditedBytes) {}
}
