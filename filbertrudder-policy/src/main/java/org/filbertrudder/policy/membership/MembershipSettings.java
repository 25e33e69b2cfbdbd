package org.filbertrudder.policy.membership;

/**
 * Settings of the membership protocol.
 *
 * @param heartbeatMs how often a member sends heartbeats, in milliseconds
 * @param suspectAfterMs the time without an answer after which a member is suspected, in
 *     milliseconds
 * @param deadAfterMs how long a member is suspected before it is declared dead, in milliseconds
 * @param retryDeadMs the mean time between heartbeats to dead members, one at a time, in
 *     milliseconds
 * @param forgetDeadMs how long a dead member is kept in the table, in milliseconds
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

    /**
     * Returns for how long an answer shows that a member is reachable: until the next one is due,
     * with half an interval for the round trip, in milliseconds.
     */
    public long answerValidMs() {
        return heartbeatMs() + heartbeatMs() / 2;
    }
}
