package org.filbertrudder.policy.configuration;

/** Lists what can come of offering a change or snapshot. */
public enum AdoptionResult {
    /** The offered revision is in force now. */
    ADOPTED,
    /** The offered revision is in force already or older. */
    STALE,
    /** Changes in between are missing. */
    GAP,
    /** The offered revision belongs to another history and is refused. */
    FORKED
}
