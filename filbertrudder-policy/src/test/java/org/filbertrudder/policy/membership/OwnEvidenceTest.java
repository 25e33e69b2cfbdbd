package org.filbertrudder.policy.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that an answer just received beats the report of another member. */
public class OwnEvidenceTest {

    private static final MembershipSettings SETTINGS =
            new MembershipSettings(500, 1_500, 3_500, 2_000, 60_000, 3);
    private static final InstanceId REPORTER = InstanceId.of("r");
    private static final long ANSWERED_MS = 10_000;

    private static Member member(String id) {
        return new Member(
                InstanceId.of(id),
                100,
                RegionId.of("mtl"),
                FailureDomainId.of("mtl-a"),
                "127.0.0.1",
                1_000 + id.charAt(0),
                1,
                1,
                MemberState.LIVE);
    }

    private static Membership membershipAnsweredBy(String answering) {
        Membership membership = new Membership(member("a"), SETTINGS, new Random(1));
        for (String other : List.of("b", "r")) {
            membership.handle(
                    new PeerMessage.MemberUpdates(List.of(member(other))), InstanceId.of(other), 0);
        }
        membership.handle(new PeerMessage.HeartbeatAck(member(answering), 1, 0), ANSWERED_MS);
        return membership;
    }

    private static List<OutboundMessage> report(
            Membership membership, MemberState state, InstanceId from, long nowMs) {
        return membership.handle(
                new PeerMessage.MemberUpdates(List.of(member("b").withState(state))), from, nowMs);
    }

    private static MemberState stateOfB(Membership membership) {
        return membership.member(InstanceId.of("b")).orElseThrow().state();
    }

    private static boolean isSentToB(List<OutboundMessage> messages, MemberState state) {
        return messages.stream()
                .filter(outbound -> outbound.to().equals(PeerAddress.of(member("b"))))
                .map(OutboundMessage::message)
                .filter(PeerMessage.MemberUpdates.class::isInstance)
                .map(PeerMessage.MemberUpdates.class::cast)
                .anyMatch(updates -> updates.members().contains(member("b").withState(state)));
    }

    @DataProvider
    public Object[][] claims() {
        return new Object[][] {{MemberState.SUSPECT}, {MemberState.DEAD}};
    }

    @Test(dataProvider = "claims")
    public void aReportAboutAMemberThatHasJustAnsweredIsNotApplied(MemberState claim) {
        Membership membership = membershipAnsweredBy("b");

        List<OutboundMessage> messages = report(membership, claim, REPORTER, ANSWERED_MS + 400);

        assertEquals(stateOfB(membership), MemberState.LIVE);
        assertTrue(isSentToB(messages, claim), "The member learns of the claim: " + messages);
    }

    @Test(dataProvider = "claims")
    public void theMemberIsToldAgainWhileItAnswersWithoutARefutation(MemberState claim) {
        Membership membership = membershipAnsweredBy("b");
        report(membership, claim, REPORTER, ANSWERED_MS + 400);

        List<OutboundMessage> messages =
                membership.handle(
                        new PeerMessage.HeartbeatAck(member("b"), 1, 0), ANSWERED_MS + 500);

        assertEquals(stateOfB(membership), MemberState.LIVE);
        assertTrue(isSentToB(messages, claim), "The member learns of the claim: " + messages);
    }

    @Test(dataProvider = "claims")
    public void theReportIsAppliedAndForwardedWhenNoFurtherAnswerComes(MemberState claim) {
        Membership membership = membershipAnsweredBy("b");
        report(membership, claim, REPORTER, ANSWERED_MS + 400);

        boolean isForwarded = false;
        for (long nowMs = ANSWERED_MS + 450; nowMs <= ANSWERED_MS + 1_000; nowMs += 50) {
            isForwarded |= isSentToB(membership.tick(1, nowMs), claim);
        }

        assertEquals(stateOfB(membership), claim);
        assertTrue(isForwarded || claim == MemberState.DEAD);
    }

    @Test
    public void aReportIsDroppedWhenTheMemberHasRefutedIt() {
        Membership membership = membershipAnsweredBy("b");
        report(membership, MemberState.SUSPECT, REPORTER, ANSWERED_MS + 400);
        Member refuted = member("b").withIncarnationAndState(101, MemberState.LIVE);
        membership.handle(
                new PeerMessage.MemberUpdates(List.of(refuted)), REPORTER, ANSWERED_MS + 450);

        for (long nowMs = ANSWERED_MS + 500; nowMs <= ANSWERED_MS + 1_500; nowMs += 50) {
            membership.tick(1, nowMs);
        }

        assertEquals(membership.member(InstanceId.of("b")).orElseThrow(), refuted);
    }

    @Test(dataProvider = "claims")
    public void aReportAboutAMemberThatHasNotJustAnsweredIsApplied(MemberState claim) {
        Membership membership = membershipAnsweredBy("b");

        report(membership, claim, REPORTER, ANSWERED_MS + 1_000);

        assertEquals(stateOfB(membership), claim);
    }

    @Test
    public void aMemberIsBelievedAboutItself() {
        Membership membership = membershipAnsweredBy("b");

        report(membership, MemberState.DEAD, InstanceId.of("b"), ANSWERED_MS + 400);

        assertEquals(stateOfB(membership), MemberState.DEAD);
    }

    @Test
    public void theStopOfAMemberThatLeavesIsBelieved() {
        Membership membership = membershipAnsweredBy("b");
        report(membership, MemberState.LEAVING, REPORTER, ANSWERED_MS + 300);

        report(membership, MemberState.DEAD, REPORTER, ANSWERED_MS + 400);

        assertEquals(stateOfB(membership), MemberState.DEAD);
    }

    @Test
    public void theEvidenceOfAHeldReportIsReturnedOnce() {
        Membership membership = membershipAnsweredBy("b");
        report(membership, MemberState.SUSPECT, REPORTER, ANSWERED_MS + 400);
        report(membership, MemberState.SUSPECT, REPORTER, ANSWERED_MS + 450);

        assertEquals(
                membership.takeEvidence(),
                List.of(
                        new MemberEvidence(
                                MemberEvidence.Kind.REPORT_HELD,
                                InstanceId.of("b"),
                                MemberState.SUSPECT,
                                100,
                                REPORTER,
                                400)));
        assertEquals(membership.takeEvidence(), List.of());
    }

    @Test
    public void aSuspectThatAnswersIsNotDeclaredDead() {
        Membership membership = membershipAnsweredBy("r");
        report(membership, MemberState.SUSPECT, REPORTER, ANSWERED_MS);

        for (long nowMs = ANSWERED_MS + 50; nowMs <= ANSWERED_MS + 10_000; nowMs += 50) {
            membership.tick(1, nowMs);
            membership.handle(new PeerMessage.HeartbeatAck(member("b"), 1, 0), nowMs);
        }

        assertEquals(stateOfB(membership), MemberState.SUSPECT);
    }
}
