package org.filbertrudder.policy.shards;

import java.util.Optional;
import org.filbertrudder.model.message.MemberState;

/**
 * Decides whether the process of a shard's owner has certainly ended.
 *
 * <p>Both the membership and the platform's live list must show that it has ended. The live list
 * lags, and a new instance does not know all members at once, so an owner that is absent from the
 * member table counts as ended only after this instance has been a member for some time.
 */
public final class OwnerTerminationRule {

    /** Time for which the membership must have reported the owner as dead. */
    private static final long MIN_DEAD_MS = 2_000;

    /** Time after which this instance's member table is trusted to be complete. */
    private static final long MIN_MEMBERSHIP_MS = 15_000;

    private OwnerTerminationRule() {}

    /**
     * Returns whether the owner's process has ended.
     *
     * @param state the owner's member state; empty if the owner is not in the member table
     * @param inStateMs how long the owner has been in that state, in milliseconds
     * @param memberForMs how long this instance has been a member, in milliseconds
     * @param missingFromLiveList whether a recent live list does not contain the owner
     */
    public static boolean hasTerminated(
            Optional<MemberState> state,
            long inStateMs,
            long memberForMs,
            boolean missingFromLiveList) {
        if (!missingFromLiveList) {
            return false;
        }
        return state.map(memberState -> memberState == MemberState.DEAD && inStateMs >= MIN_DEAD_MS)
                .orElse(memberForMs >= MIN_MEMBERSHIP_MS);
    }
}
