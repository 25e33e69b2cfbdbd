package org.filbertrudder.model;

import java.util.List;

/**
 * Records one accepted change of the configuration.
 *
 * @param revision the revision that the change creates; one more than the revision it builds on
 * @param changeId a unique id that tells whether a write took effect after its answer was lost
 * @param author the operator who made the change
 * @param atMs when the change was made, in milliseconds since the epoch
 * @param previousDigest the digest of the history up to the revision it builds on
 * @param edits the steps, applied in order
 */
public record Change(
        long revision,
        String changeId,
        String author,
        long atMs,
        String previousDigest,
        List<Edit> edits) {

    /** Copies the list of edits. */
    public Change {
        edits = List.copyOf(edits);
    }
}
