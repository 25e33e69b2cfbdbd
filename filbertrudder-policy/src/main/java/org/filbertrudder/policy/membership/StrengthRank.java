package org.filbertrudder.policy.membership;

import java.util.List;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.policy.Rendezvous;

/** Ranks members for a duty, so that each gets it for a part of all keys by its strength. */
public final class StrengthRank {

    private StrengthRank() {}

    /** Returns the first members for the key; all instances with the same members agree. */
    public static List<Member> first(String key, List<Member> members, int count) {
        return Rendezvous.rankByStrength(
                        key, members, member -> member.id().value(), Member::strength)
                .stream()
                .limit(count)
                .toList();
    }
}
