package org.filbertrudder.policy.membership;

/**
 * Holds the intervals of the membership protocol.
 *
 * @param heartbeatMs how often a member sends heartbeats, in milliseconds
 * @param suspectAfterMs the silence after which a member is suspected, in milliseconds
 * @param deadAfterMs how long a suspicion lasts before the member counts as dead, in milliseconds
 * @param retryDeadMs how often one dead member is tried again, in milliseconds
 * @param forgetDeadMs how long a dead member is remembered, in milliseconds
 * @param neighbours the number of members that each member sends heartbeats to
 */
public record MembershipSettings(
        long heartbeatMs,
        long suspectAfterMs,
        long deadAfterMs,
        long retryDeadMs,
        long forgetDeadMs,
        int neighbours) {

    /** The settings that entry instances use. */
    public static final MembershipSettings DEFAULT =
            new MembershipSettings(1_000, 3_500, 3_000, 5_000, 3_600_000, 3);
}
