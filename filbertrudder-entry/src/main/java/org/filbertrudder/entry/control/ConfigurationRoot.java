package org.filbertrudder.entry.control;

import java.util.List;

/**
 * Names the newest revision in the store; changed by compare-and-swap only.
 *
 * @param revision the newest revision
 * @param digest the digest of the history up to it
 * @param changeId the id of the change that created it
 * @param snapshotRevision the revision of the last snapshot; 0 if there is none
 * @param snapshotDigest the digest of the history up to the snapshot
 * @param snapshotParts the digests of the snapshot's parts
 */
public record ConfigurationRoot(
        long revision,
        String digest,
        String changeId,
        long snapshotRevision,
        String snapshotDigest,
        List<String> snapshotParts) {

    /** The root before the first change. */
    public static final ConfigurationRoot NONE = new ConfigurationRoot(0, "", "", 0, "", List.of());

    /** Returns the root after a change. */
    ConfigurationRoot after(long newRevision, String newDigest, String newChangeId) {
        return new ConfigurationRoot(
                newRevision,
                newDigest,
                newChangeId,
                snapshotRevision,
                snapshotDigest,
                snapshotParts);
    }

    /** Returns the root with a new snapshot. */
    ConfigurationRoot withSnapshot(long ofRevision, String ofDigest, List<String> parts) {
        return new ConfigurationRoot(revision, digest, changeId, ofRevision, ofDigest, parts);
    }
}
