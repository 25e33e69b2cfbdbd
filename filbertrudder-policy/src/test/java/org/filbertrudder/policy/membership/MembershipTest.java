package org.filbertrudder.policy.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.testng.annotations.Test;

/** Tests failure detection and the distribution of member updates. */
public class MembershipTest {

    private static final MembershipSettings SETTINGS = MembershipSettings.DEFAULT;

    private static Member member(String id) {
        return new Member(
                InstanceId.of(id),
                100,
                RegionId.of("mtl"),
                FailureDomainId.of("mtl-a"),
                "127.0.0.1",
                1_000 + Math.floorMod(id.hashCode(), 50_000),
                1,
                1,
                MemberState.LIVE);
    }

    private static Membership membership(String self, String... others) {
        Membership membership = new Membership(member(self), SETTINGS, new Random(1));
        for (String other : others) {
            membership.handle(
                    new PeerMessage.MemberUpdates(List.of(member(other))), InstanceId.of(other), 0);
        }
        return membership;
    }

    private static MemberState stateOf(Membership membership, String id) {
        return membership.member(InstanceId.of(id)).orElseThrow().state();
    }

    private static void tickUntil(Membership membership, long fromMs, long untilMs) {
        for (long nowMs = fromMs; nowMs <= untilMs; nowMs += 100) {
            membership.tick(1, nowMs);
        }
    }

    @Test
    public void suspectsAMemberThatDoesNotAnswerAndThenDeclaresItDead() {
        Membership membership = membership("a", "b");

        tickUntil(membership, 0, 5_000);
        assertEquals(stateOf(membership, "b"), MemberState.SUSPECT);

        tickUntil(membership, 5_000, 10_000);
        assertEquals(stateOf(membership, "b"), MemberState.DEAD);
    }

    @Test
    public void aMemberThatAnswersRemainsLive() {
        Membership membership = membership("a", "b");

        for (long nowMs = 0; nowMs < 20_000; nowMs += 100) {
            membership.tick(1, nowMs);
            membership.handle(new PeerMessage.HeartbeatAck(member("b"), 1, 0), nowMs);
        }

        assertEquals(stateOf(membership, "b"), MemberState.LIVE);
    }

    @Test
    public void refutesASuspicionAgainstItself() {
        Membership membership = membership("a", "b");

        membership.handle(
                new PeerMessage.MemberUpdates(List.of(member("a").withState(MemberState.SUSPECT))),
                InstanceId.of("b"),
                1);

        assertEquals(membership.self().state(), MemberState.LIVE);
        assertEquals(membership.self().incarnation(), 101);
    }

    @Test
    public void aRefutedMemberBecomesLiveAgain() {
        Membership membership = membership("a", "b");
        tickUntil(membership, 0, 10_000);

        membership.handle(
                new PeerMessage.MemberUpdates(
                        List.of(member("b").withIncarnationAndState(101, MemberState.LIVE))),
                InstanceId.of("b"),
                10_100);

        assertEquals(stateOf(membership, "b"), MemberState.LIVE);
    }

    @Test
    public void ignoresOlderRecordsOfAMember() {
        Membership membership = membership("a", "b");
        Member newer = member("b").withIncarnationAndState(200, MemberState.LEAVING);
        membership.handle(new PeerMessage.MemberUpdates(List.of(newer)), InstanceId.of("b"), 1);

        membership.handle(
                new PeerMessage.MemberUpdates(List.of(member("b"))), InstanceId.of("b"), 2);

        assertEquals(stateOf(membership, "b"), MemberState.LEAVING);
    }

    @Test
    public void forwardsAnUpdateOnceAndNotToItsSender() {
        Membership membership = membership("a", "b", "c");
        PeerMessage.MemberUpdates updates = new PeerMessage.MemberUpdates(List.of(member("d")));

        List<OutboundMessage> first = membership.handle(updates, InstanceId.of("b"), 1);
        List<OutboundMessage> second = membership.handle(updates, InstanceId.of("c"), 2);

        assertTrue(
                first.stream()
                        .noneMatch(outbound -> outbound.to().equals(PeerAddress.of(member("b")))));
        assertTrue(
                first.stream()
                        .anyMatch(outbound -> outbound.to().equals(PeerAddress.of(member("c")))));
        assertTrue(second.isEmpty());
    }

    @Test
    public void batchesUpdatesWhenManyMembersStartAtOnce() {
        Membership membership = membership("a", "b", "c");
        int messages = 0;
        for (int i = 0; i < 90; i++) {
            Member newcomer = member("m" + i);
            messages +=
                    membership
                            .handle(
                                    new PeerMessage.MemberUpdates(List.of(newcomer)),
                                    newcomer.id(),
                                    1_000 + i)
                            .size();
        }
        List<OutboundMessage> messagesOfNextTick = membership.tick(1, 1_300);

        assertTrue(messages < 60, "messages before the next tick: " + messages);
        assertTrue(
                messagesOfNextTick.stream()
                        .map(OutboundMessage::message)
                        .filter(PeerMessage.MemberUpdates.class::isInstance)
                        .map(PeerMessage.MemberUpdates.class::cast)
                        .anyMatch(updates -> updates.members().size() > 50),
                "The next tick forwards the batched updates.");
    }

    @Test
    public void allMembersOfADomainSelectTheSameRelay() {
        Membership membershipOfA = membership("a", "b", "c");
        Membership membershipOfB = membership("b", "a", "c");

        RelaySelection relaysSeenByA = new RelaySelection(membershipOfA, 1);
        RelaySelection relaysSeenByB = new RelaySelection(membershipOfB, 1);

        int relays = (relaysSeenByA.isRelay() ? 1 : 0) + (relaysSeenByB.isRelay() ? 1 : 0);
        assertTrue(relays <= 1);
        assertEquals(
                relaysSeenByA.isRelay()
                        ? "a"
                        : relaysSeenByA.otherRelay().orElseThrow().id().value(),
                relaysSeenByB.isRelay()
                        ? "b"
                        : relaysSeenByB.otherRelay().orElseThrow().id().value());
    }

    @Test
    public void sendsHeartbeatsToDeadMembersAtALimitedRate() {
        Membership membership = membership("a", "b");
        tickUntil(membership, 0, 12_000);
        int heartbeats = 0;
        for (long nowMs = 12_000; nowMs < 72_000; nowMs += 100) {
            heartbeats += membership.tick(1, nowMs).size();
        }

        assertTrue(
                heartbeats >= 6 && heartbeats <= 24,
                "heartbeats to dead members in a minute: " + heartbeats);
    }

    @Test
    public void requestsTheWholeStateIfTheSharedDigestDiffers() {
        Membership membership = membership("a", "b");
        int digest = membership.digest();
        membership.setSharedDigest(7);

        List<OutboundMessage> messages =
                membership.handle(new PeerMessage.HeartbeatAck(member("b"), 1, digest), 100);

        assertTrue(
                messages.stream()
                        .anyMatch(
                                outbound ->
                                        outbound.message() instanceof PeerMessage.MembersRequest));
    }

    @Test
    public void aLeavingMemberIsNoPeerButAFailedOneIs() {
        Membership membershipWithFailure = membership("a", "b");
        Membership membershipWithLeave = membership("a", "b");
        Member leaving = member("b").withState(MemberState.LEAVING);
        membershipWithLeave.handle(
                new PeerMessage.MemberUpdates(List.of(leaving)), InstanceId.of("b"), 0);

        tickUntil(membershipWithFailure, 0, 10_000);
        tickUntil(membershipWithLeave, 0, 10_000);

        assertEquals(stateOf(membershipWithFailure, "b"), MemberState.DEAD);
        assertTrue(membershipWithFailure.hasPeersInRegion());
        assertEquals(stateOf(membershipWithLeave, "b"), MemberState.DEAD);
        assertFalse(membershipWithLeave.hasPeersInRegion());
    }

    @Test
    public void returnsTheTimeOfTheLastAnswer() {
        Membership membership = membership("a", "b", "c", "d", "e", "f", "g");
        assertEquals(membership.lastAnswerMs(), Optional.empty());

        membership.handle(new PeerMessage.HeartbeatAck(member("b"), 1, 0), 700);

        assertEquals(membership.lastAnswerMs(), Optional.of(700L));
    }

    @Test
    public void rejectsAMemberRecordWithoutRegionAndKeepsTheTable() {
        Membership membership = membership("a", "b");
        Member incomplete =
                new Member(InstanceId.of("c"), 1, null, null, "x", 1, 1, 1, MemberState.LIVE);

        assertThrows(
                IllegalArgumentException.class,
                () ->
                        membership.handle(
                                new PeerMessage.MemberUpdates(List.of(incomplete)),
                                InstanceId.of("b"),
                                0));

        assertEquals(membership.members().size(), 2);
    }
}
