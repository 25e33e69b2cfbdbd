package org.filbertrudder.model.message;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.RegionId;

/** Holds the records of which the messages between instances and the scheduler consist. */
public final class StartRecords {

    private StartRecords() {}

    /** Lists the kinds of decisions. */
    public enum Kind {
        /** The request starts at an endpoint. */
        START,
        /** The request is sent to another region. */
        FORWARD,
        /** The request is refused. */
        REFUSE
    }

    /**
     * Describes a part of a prompt.
     *
     * @param id identifies the prefix that ends with the part
     * @param tokens the length of the part, in tokens
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"id", "tokens"})
    public record Part(String id, long tokens) {}

    /**
     * Describes a prompt and its expected output.
     *
     * @param parts the parts of the prompt, in order
     * @param promptTokens the tokens of the whole prompt
     * @param outputTokens the expected tokens of the response
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"parts", "promptTokens", "outputTokens"})
    public record Prompt(List<Part> parts, long promptTokens, long outputTokens) {}

    /**
     * Describes a request that waits for its start.
     *
     * @param number identifies the request for the sender
     * @param account the client account
     * @param rank the priority; 0 is the most urgent
     * @param prompt the prompt
     * @param allowedRegions the regions where the request may run; empty means any region
     * @param excluded the endpoints that must not run the request
     * @param forwarded whether another region has forwarded the request
     * @param ageMs the time since the request arrived, in milliseconds
     * @param goalMs the latency goal, in milliseconds
     * @param waitLimitMs the time left until the request must have started, in milliseconds
     * @param remainingMs the time left until the deadline, in milliseconds
     * @param digest identifies account and content
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({
        "number",
        "account",
        "rank",
        "prompt",
        "allowedRegions",
        "excluded",
        "forwarded",
        "ageMs",
        "goalMs",
        "waitLimitMs",
        "remainingMs",
        "digest"
    })
    public record Request(
            long number,
            AccountId account,
            int rank,
            Prompt prompt,
            List<RegionId> allowedRegions,
            List<EndpointId> excluded,
            boolean forwarded,
            long ageMs,
            long goalMs,
            long waitLimitMs,
            long remainingMs,
            long digest) {}

    /**
     * Describes the decision on a request.
     *
     * @param number the number of the request
     * @param kind the kind of the decision
     * @param endpoint the endpoint of a start; null otherwise
     * @param region the region of a forwarded request; null otherwise
     * @param retryAfterMs when the caller of a refused request may retry, in milliseconds
     * @param reason the reason of a refusal; null otherwise
     * @param waitedMs how long the request has waited at the scheduler, in milliseconds
     * @param ahead the number of requests that waited there when it arrived
     * @param aheadTokens the prompt tokens of those requests
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({
        "number",
        "kind",
        "endpoint",
        "region",
        "retryAfterMs",
        "reason",
        "waitedMs",
        "ahead",
        "aheadTokens"
    })
    public record Decision(
            long number,
            Kind kind,
            EndpointId endpoint,
            RegionId region,
            long retryAfterMs,
            String reason,
            long waitedMs,
            int ahead,
            long aheadTokens) {}

    /**
     * Describes a request that has been sent to an endpoint and has not ended.
     *
     * @param number the number of the request
     * @param endpoint the endpoint
     * @param prompt the prompt
     * @param begun whether the first event has arrived
     * @param remainingMs the time left until the deadline, in milliseconds
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"number", "endpoint", "prompt", "begun", "remainingMs"})
    public record Open(
            long number, EndpointId endpoint, Prompt prompt, boolean begun, long remainingMs) {}

    /**
     * Describes a request that has ended.
     *
     * @param number the number of the request
     * @param events the number of events of a complete response; 0 if it is incomplete
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"number", "events"})
    public record Ended(long number, long events) {}

    /**
     * Describes what an endpoint has stated about its load.
     *
     * @param endpoint the endpoint
     * @param running the requests that it runs
     * @param waiting the requests that wait in it
     * @param pacePercent how long work takes, in percent of the usual time; 0 if not stated
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"endpoint", "running", "waiting", "pacePercent"})
    public record Statement(EndpointId endpoint, int running, int waiting, int pacePercent) {}

    /**
     * Describes the sender's streams on an endpoint.
     *
     * @param endpoint the endpoint
     * @param msPerEvent the pace, in milliseconds per event
     * @param missingMs the time that the stream with the least slack lacks, in milliseconds
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"endpoint", "msPerEvent", "missingMs"})
    public record Streams(EndpointId endpoint, double msPerEvent, double missingMs) {}
}
