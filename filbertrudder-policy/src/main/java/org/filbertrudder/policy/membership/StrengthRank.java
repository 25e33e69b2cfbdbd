package org.filbertrudder.policy.membership;

import java.util.List;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.policy.RendezvousHashing;

/** Ranks members by weighted rendezvous hashing, with the strength of a member as its weight. */
public final class StrengthRank {

    private StrengthRank() {}

    /** Returns the first members for the key; the same on all instances with the same members. */
    public static List<Member> first(String key, List<Member> members, int count) {
        return RendezvousHashing.rankByStrength(
                        key, members, member -> member.id().value(), Member::strength)
                .stream()
                .limit(count)
                .toList();
    }
}
