package org.filbertrudder.model.message;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;

/**
 * Describes what is known of a prompt part that requests had which were lost in crashes.
 *
 * @param part the id of the part
 * @param losses the number of successive losses: a request that is lost raises it to one more than
 *     was known when the request was sent
 * @param cleared the number of these losses that were known when a request was sent whose answer
 *     began
 * @param answered whether requests with the part have been answered
 * @param requests the latest requests lost and not cleared
 * @param ageMs the time since the last loss, in milliseconds
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"part", "losses", "cleared", "answered", "requests", "ageMs"})
public record PartEvidence(
        String part,
        int losses,
        int cleared,
        boolean answered,
        List<LostRequest> requests,
        long ageMs) {

    /** Replaces a missing list by an empty one. */
    public PartEvidence {
        requests = requests == null ? List.of() : requests;
    }

    /**
     * Identifies a request that was lost before its answer began.
     *
     * @param request a hash of the request's content
     * @param losses the number of losses of the part with this one
     * @param endpoint a hash of the endpoint; 0 if the sender has not run for long enough to know
     *     which parts are answered
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"request", "losses", "endpoint"})
    public record LostRequest(long request, int losses, long endpoint) {}
}
