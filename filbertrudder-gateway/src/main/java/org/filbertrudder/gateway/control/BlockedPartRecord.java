package org.filbertrudder.gateway.control;

import java.util.List;
import org.filbertrudder.model.message.PartEvidence;

/**
 * Stores the evidence of a blocked prompt part.
 *
 * @param part the id of the part
 * @param losses the number of successive losses
 * @param cleared the number of these losses that were cleared
 * @param answered whether requests with the part have been answered
 * @param requests the latest requests lost
 * @param lastLossMs when the last loss happened, in milliseconds since the epoch
 */
public record BlockedPartRecord(
        String part,
        int losses,
        int cleared,
        boolean answered,
        List<PartEvidence.LostRequest> requests,
        long lastLossMs) {

    /** Returns what is stored of the evidence at a time. */
    public static BlockedPartRecord of(PartEvidence evidence, long nowMs) {
        return new BlockedPartRecord(
                evidence.part(),
                evidence.losses(),
                evidence.cleared(),
                evidence.answered(),
                evidence.requests(),
                nowMs - evidence.ageMs());
    }

    /** Returns the evidence with its age at a time; clocks of instances may differ. */
    public PartEvidence atTime(long nowMs) {
        return new PartEvidence(
                part, losses, cleared, answered, requests, Math.max(0, nowMs - lastLossMs));
    }
}
