package org.filbertrudder.policy.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a suspect is asked through other members before it is declared dead. */
public class IndirectProbeTest {

    private static final MembershipSettings SETTINGS =
            new MembershipSettings(500, 1_500, 3_500, 2_000, 60_000, 3);

    @DataProvider
    public Object[][] cuts() {
        return new Object[][] {{true, false}, {false, true}, {true, true}};
    }

    /** Cuts a link between two members of three; the third one reaches both. */
    @Test(dataProvider = "cuts")
    public void aMemberBehindACutLinkIsNotDeclaredDead(boolean forward, boolean back) {
        for (long seed = 0; seed < 20; seed++) {
            SimulatedMembers members = new SimulatedMembers(3, SETTINGS, seed);
            members.advance(5_000, () -> {});
            members.setCut(0, 1, forward);
            members.setCut(1, 0, back);
            String run = "seed " + seed;

            members.advance(
                    60_000,
                    () -> {
                        for (int at = 0; at < 3; at++) {
                            for (int of = 0; of < 3; of++) {
                                assertTrue(members.state(of, at) != MemberState.DEAD, run);
                            }
                        }
                    });
        }
    }

    private static boolean tellsOf(OutboundMessage message, Member record) {
        return message.message() instanceof PeerMessage.MemberUpdates updates
                && updates.members().contains(record);
    }

    @Test
    public void otherMembersAreAskedAgainAtEachHeartbeatBeforeASuspectIsDeclaredDead() {
        SimulatedMembers members = new SimulatedMembers(3, SETTINGS, 1);
        Membership membership = members.membership(0);
        Member third = membership.member(SimulatedMembers.id(2)).orElseThrow();
        Member suspect =
                membership
                        .member(SimulatedMembers.id(1))
                        .orElseThrow()
                        .withState(MemberState.SUSPECT);

        int asked = 0;
        for (long nowMs = 0; nowMs <= 5_000; nowMs += 50) {
            for (OutboundMessage message : membership.tick(1, nowMs)) {
                asked +=
                        message.to().equals(PeerAddress.of(third)) && tellsOf(message, suspect)
                                ? 1
                                : 0;
            }
            membership.handle(new PeerMessage.HeartbeatAck(third, 1, 0), nowMs);
        }

        assertTrue(asked >= 5, "asked " + asked);
    }

    @Test
    public void aMemberThatIsAskedAsksTheSuspectAndPassesTheRefutationOn() {
        SimulatedMembers members = new SimulatedMembers(8, SETTINGS, 1);
        Membership asked = members.membership(0);
        Member asker = asked.member(SimulatedMembers.id(1)).orElseThrow();
        Member live = asked.member(SimulatedMembers.id(2)).orElseThrow();
        Member suspect = live.withState(MemberState.SUSPECT);
        asked.handle(new PeerMessage.MemberUpdates(List.of(suspect)), asker.id(), 1_000);

        List<OutboundMessage> probes =
                asked.handle(
                        new PeerMessage.MemberUpdates(List.of(asker, suspect)), asker.id(), 3_000);
        Member refuted = live.withIncarnationAndState(101, MemberState.LIVE);
        List<OutboundMessage> answers =
                asked.handle(new PeerMessage.MemberUpdates(List.of(refuted)), live.id(), 3_100);

        assertTrue(
                probes.stream()
                        .anyMatch(
                                message ->
                                        message.to().equals(PeerAddress.of(live))
                                                && tellsOf(message, suspect)),
                "probes " + probes);
        assertTrue(
                answers.stream()
                        .anyMatch(
                                message ->
                                        message.to().equals(PeerAddress.of(asker))
                                                && tellsOf(message, refuted)),
                "answers " + answers);
    }

    @Test
    public void aSuspicionThatIsKnownToBeRefutedIsAnsweredWithTheRefutation() {
        SimulatedMembers members = new SimulatedMembers(8, SETTINGS, 1);
        Membership asked = members.membership(0);
        Member asker = asked.member(SimulatedMembers.id(1)).orElseThrow();
        Member live = asked.member(SimulatedMembers.id(2)).orElseThrow();
        Member refuted = live.withIncarnationAndState(101, MemberState.LIVE);
        asked.handle(new PeerMessage.MemberUpdates(List.of(refuted)), live.id(), 1_000);

        List<OutboundMessage> answers =
                asked.handle(
                        new PeerMessage.MemberUpdates(
                                List.of(asker, live.withState(MemberState.SUSPECT))),
                        asker.id(),
                        3_000);

        assertEquals(
                answers,
                List.of(
                        new OutboundMessage(
                                PeerAddress.of(asker),
                                new PeerMessage.MemberUpdates(List.of(refuted)))));
    }

    @Test
    public void aRefutationIsSentToTheMemberThatToldOfTheSuspicion() {
        SimulatedMembers members = new SimulatedMembers(8, SETTINGS, 1);
        Membership suspected = members.membership(0);

        for (int teller = 1; teller < 8; teller++) {
            Member claim = suspected.self().withState(MemberState.SUSPECT);
            List<OutboundMessage> messages =
                    suspected.handle(
                            new PeerMessage.MemberUpdates(List.of(claim)),
                            SimulatedMembers.id(teller),
                            teller * 10_000L);
            PeerAddress address =
                    PeerAddress.of(suspected.member(SimulatedMembers.id(teller)).orElseThrow());

            assertTrue(
                    messages.stream()
                            .anyMatch(
                                    message ->
                                            message.to().equals(address)
                                                    && tellsOf(message, suspected.self())),
                    "teller " + teller);
        }
    }

    @Test
    public void aWholeTableIsNotTakenForAQuestion() {
        SimulatedMembers members = new SimulatedMembers(8, SETTINGS, 1);
        Membership asked = members.membership(1);
        Member suspect =
                asked.member(SimulatedMembers.id(7)).orElseThrow().withState(MemberState.SUSPECT);
        List<Member> table = new ArrayList<>(asked.members());
        table.set(7, suspect);
        asked.handle(
                new PeerMessage.MemberUpdates(List.of(suspect)), SimulatedMembers.id(0), 1_000);

        List<OutboundMessage> messages =
                asked.handle(new PeerMessage.MemberUpdates(table), SimulatedMembers.id(0), 3_000);

        assertEquals(messages, List.of());
    }

    @Test
    public void aSuspectThatNobodyReachesIsDeclaredDeadInTime() {
        SimulatedMembers members = new SimulatedMembers(3, SETTINGS, 1);

        for (long nowMs = 0; nowMs <= 7_000; nowMs += 50) {
            members.membership(0).tick(1, nowMs);
        }

        assertEquals(members.state(1, 0), MemberState.DEAD);
        assertEquals(members.state(2, 0), MemberState.DEAD);
    }

    @Test
    public void theEvidenceOfAnAnswerThroughAnotherMemberIsReturned() {
        SimulatedMembers members = new SimulatedMembers(3, SETTINGS, 1);
        members.setCut(0, 1, true);
        members.setCut(1, 0, true);
        List<MemberEvidence> evidence = new ArrayList<>();

        members.advance(10_000, () -> evidence.addAll(members.membership(0).takeEvidence()));

        assertTrue(
                evidence.stream()
                        .anyMatch(
                                item ->
                                        item.kind() == MemberEvidence.Kind.INDIRECT_ANSWER
                                                && item.member().equals(SimulatedMembers.id(1))
                                                && item.reporter().equals(SimulatedMembers.id(2))),
                "evidence " + evidence);
    }
}
