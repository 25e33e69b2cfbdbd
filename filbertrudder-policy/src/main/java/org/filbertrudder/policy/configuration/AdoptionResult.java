package org.filbertrudder.policy.configuration;

/** Result of offering a change or snapshot to a {@link ConfigurationLog}. */
public enum AdoptionResult {
    /** The offered revision is now in force. */
    ADOPTED,
    /** The offered revision is already in force, or older than the one in force. */
    STALE,
    /** Changes between the revision in force and the offered one are missing. */
    GAP,
    /** The offered revision belongs to a different history and is rejected. */
    FORKED
}
