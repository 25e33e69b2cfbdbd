package org.filbertrudder.model;

import java.util.List;

/**
 * Records one accepted change of the configuration as an entry of its hash-chained history.
 *
 * @param revision the revision that the change creates: the previous revision plus one
 * @param changeId a unique id; shows whether a write whose response was lost took effect
 * @param author the operator who made the change
 * @param atMs when the change was made, in milliseconds since the epoch
 * @param previousDigest the digest of the history up to the previous revision
 * @param edits the edits, in the order in which they are applied
 */
public record Change(
        long revision,
        String changeId,
        String author,
        long atMs,
        String previousDigest,
        List<Edit> edits) {

    /** Makes a defensive copy of the edits. */
    public Change {
        edits = List.copyOf(edits);
    }
}
