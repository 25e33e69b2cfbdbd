package org.filbertrudder.entry.control;

import java.util.List;

/**
 * Identifies the newest revision and the last snapshot in the store. Stored as one record that is
 * replaced by compare-and-swap only.
 *
 * @param revision the newest revision
 * @param digest the digest of the change history up to the newest revision
 * @param changeId the id of the change that created the newest revision
 * @param snapshotRevision the revision of the last snapshot; 0 if there is none
 * @param snapshotDigest the digest of the change history up to the snapshot
 * @param snapshotParts the digests of the snapshot's parts, which are also their key suffixes
 */
public record ConfigurationRoot(
        long revision,
        String digest,
        String changeId,
        long snapshotRevision,
        String snapshotDigest,
        List<String> snapshotParts) {

    /** The root before the first change. */
    public static final ConfigurationRoot EMPTY =
            new ConfigurationRoot(0, "", "", 0, "", List.of());

    /** Returns this root with the revision that a change created. */
    ConfigurationRoot withChange(long newRevision, String newDigest, String newChangeId) {
        return new ConfigurationRoot(
                newRevision,
                newDigest,
                newChangeId,
                snapshotRevision,
                snapshotDigest,
                snapshotParts);
    }

    /** Returns this root with a new snapshot. */
    ConfigurationRoot withSnapshot(
            long newSnapshotRevision, String newSnapshotDigest, List<String> newSnapshotParts) {
        return new ConfigurationRoot(
                revision,
                digest,
                changeId,
                newSnapshotRevision,
                newSnapshotDigest,
                newSnapshotParts);
    }
}
