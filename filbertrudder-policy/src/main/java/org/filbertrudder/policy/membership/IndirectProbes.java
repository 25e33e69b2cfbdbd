package org.filbertrudder.policy.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;

/**
 * Asks suspects through other members, and passes the answers of suspects on to those who asked.
 *
 * <p>A question is an update that begins with the record of the member that asks, followed by the
 * records of a few suspects. A member that is asked tells each suspect of the suspicion; the
 * refutation is the answer. Instances that know no questions apply such an update like any other.
 */
final class IndirectProbes {

    /** The members that are asked at a time. */
    private static final int MAX_HELPERS = 2;

    /** The members that an answer of one suspect is passed on to. */
    private static final int MAX_ASKERS = 4;

    private final int mMaxSuspects;
    private final RandomGenerator mRandom;
    private final Set<InstanceId> mSuspectedHere = new HashSet<>();
    private final Map<InstanceId, Set<InstanceId>> mAskers = new HashMap<>();

    /** Creates an object that asks about a limited number of suspects at a time. */
    IndirectProbes(int maxSuspects, RandomGenerator random) {
        mMaxSuspects = maxSuspects;
        mRandom = random;
    }

    /** Returns the questions about suspects to some of the other members. */
    List<OutboundMessage> ask(Member self, List<Member> suspects, Collection<Member> members) {
        if (suspects.isEmpty()) {
            return List.of();
        }
        List<Member> asked = suspects.stream().limit(mMaxSuspects).toList();
        List<Member> records = new ArrayList<>(List.of(self));
        records.addAll(asked);
        PeerMessage question = new PeerMessage.MemberUpdates(records);
        List<Member> helpers =
                new ArrayList<>(
                        members.stream()
                                .filter(Member::acceptsNewRequests)
                                .filter(member -> !member.id().equals(self.id()))
                                .toList());
        List<OutboundMessage> messages = new ArrayList<>();
        while (messages.size() < MAX_HELPERS && !helpers.isEmpty()) {
            Member helper = helpers.remove(mRandom.nextInt(helpers.size()));
            messages.add(new OutboundMessage(PeerAddress.of(helper), question));
        }
        return messages;
    }

    /** Records that this instance suspects a member. */
    void recordSuspicion(InstanceId suspect) {
        mSuspectedHere.add(suspect);
    }

    /** Returns whether this instance has suspected a member that has not answered since. */
    boolean isSuspectedHere(InstanceId suspect) {
        return mSuspectedHere.contains(suspect);
    }

    /** Returns the suspects that a member asks about; empty if its update is no question. */
    List<Member> suspectsAskedFor(List<Member> updates, InstanceId from) {
        boolean isQuestion =
                updates.size() >= 2
                        && updates.size() <= mMaxSuspects + 1
                        && updates.get(0).id().equals(from);
        if (!isQuestion) {
            return List.of();
        }
        List<Member> suspects = updates.subList(1, updates.size());
        return suspects.stream().allMatch(member -> member.state() == MemberState.SUSPECT)
                ? suspects
                : List.of();
    }

    /** Remembers who has asked about a suspect. */
    void recordQuestion(InstanceId suspect, InstanceId asker) {
        Set<InstanceId> askers =
                mAskers.computeIfAbsent(suspect, id -> new LinkedHashSet<>(MAX_ASKERS));
        if (askers.size() < MAX_ASKERS) {
            askers.add(asker);
        }
    }

    /** Forgets the questions about a member and returns who has asked about it. */
    Set<InstanceId> close(InstanceId member) {
        mSuspectedHere.remove(member);
        Set<InstanceId> askers = mAskers.remove(member);
        return askers == null ? Set.of() : askers;
    }
}
