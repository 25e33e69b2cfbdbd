package org.filbertrudder.policy.shards;

import java.util.Optional;
import org.filbertrudder.model.message.MemberState;

/**
 * Decides whether the process of a shard's owner is certainly gone.
 *
 * <p>Both the members and the platform's live list must have given it up. The live list lags, and a
 * new instance does not know all members at once, so an owner that is merely unknown counts as gone
 * only once this instance has been a member for a while.
 */
public final class GoneRule {

    private static final long DEAD_FOR_MS = 2_000;
    private static final long MEMBER_FOR_MS = 15_000;

    private GoneRule() {}

    /**
     * Returns whether the owner is gone.
     *
     * @param state the owner's state; empty if it is unknown to the members
     * @param inStateMs how long the owner has been in that state, in milliseconds
     * @param memberForMs how long this instance has been a member, in milliseconds
     * @param missingFromLiveList whether a recent live list does not show the owner
     */
    public static boolean isGone(
            Optional<MemberState> state,
            long inStateMs,
            long memberForMs,
            boolean missingFromLiveList) {
        if (!missingFromLiveList) {
            return false;
        }
        return state.map(known -> known == MemberState.DEAD && inStateMs >= DEAD_FOR_MS)
                .orElse(memberForMs >= MEMBER_FOR_MS);
    }
}
