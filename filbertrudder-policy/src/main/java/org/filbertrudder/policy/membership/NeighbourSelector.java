package org.filbertrudder.policy.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.policy.RendezvousHashing;

/** Chooses the members that an instance sends heartbeats to. */
final class NeighbourSelector {

    private NeighbourSelector() {}

    /** Returns the neighbours of a member among all members, without dead ones. */
    static List<Member> choose(Member self, Collection<Member> members, int count) {
        List<Member> others =
                members.stream()
                        .filter(member -> !member.id().equals(self.id()))
                        .filter(member -> member.state() != MemberState.DEAD)
                        .toList();
        if (others.size() <= count) {
            return others;
        }
        long ringPosition = ringPosition(self);
        Comparator<Member> byRingDistance =
                Comparator.comparingLong(
                        member -> (ringPosition(member) - ringPosition) & Long.MAX_VALUE);
        Set<Member> chosen = new LinkedHashSet<>();
        chosen.add(others.stream().min(byRingDistance).orElseThrow());
        // One neighbour in the own region keeps the members of a partitioned region connected.
        others.stream()
                .filter(member -> member.region().equals(self.region()))
                .min(byRingDistance)
                .ifPresent(chosen::add);
        RendezvousHashing.rank(self.id().value(), others, member -> member.id().value()).stream()
                .filter(member -> !chosen.contains(member))
                .limit(Math.max(0, count - chosen.size()))
                .toList()
                .forEach(chosen::add);
        return List.copyOf(chosen);
    }

    private static long ringPosition(Member member) {
        return RendezvousHashing.weight("ring", member.id().value());
    }
}
