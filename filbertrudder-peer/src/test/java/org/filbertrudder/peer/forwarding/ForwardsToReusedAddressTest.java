package org.filbertrudder.peer.forwarding;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that requests reach no other instance than the one chosen, if an address is used again. */
public class ForwardsToReusedAddressTest {

    private static final Member MEANT = member("meant", "mtl");
    private static final Member OTHER = member("other", "sag");
    private static final Member SAME_ID_ELSEWHERE = member("meant", "sag");
    private static final long LIFE = 7;
    private static final long OTHER_LIFE = 8;
    private static final long TICK_MS = 100;

    /** How long a link lives that is opened again at once when it closes. */
    private static final long LINKED_MS = 300;

    /** Longer than any pause between two tries to open a link. */
    private static final long SETTLED_MS = 10_000;

    private final List<Consumer<? super ForwardLink>> mOpening = new ArrayList<>();
    private final List<RecordingLink> mLinks = new ArrayList<>();
    private final List<ForwardEvent> mLog = new ArrayList<>();
    private long mNowMs;
    private ForwardSender mSender;

    @BeforeMethod
    public void createSender() {
        mOpening.clear();
        mLinks.clear();
        mLog.clear();
        mNowMs = 1_000;
        mSender =
                new ForwardSender(
                        (address, action) -> mOpening.add(action), () -> mNowMs, mLog::add);
    }

    /** Instances with the same address; the life of an older release is 0. */
    @DataProvider
    public Object[][] wrongInstances() {
        return new Object[][] {
            {OTHER, OTHER_LIFE},
            {SAME_ID_ELSEWHERE, OTHER_LIFE},
            {OTHER, 0},
            {SAME_ID_ELSEWHERE, 0}
        };
    }

    @Test(dataProvider = "wrongInstances")
    public void newLinkReachesAnotherInstance(Member wrong, long life) {
        Outcome outcome = new Outcome();
        start(MEANT, outcome);
        RecordingLink link = open(wrong, life);

        assertNothingIsForwarded(link);
        assertTrue(link.mClosed, "closed");
        assertEquals(outcome.mFailures, List.of(ForwardListener.Failure.NOT_RUN));
        assertEquals(reasons(), List.of("other member"));
    }

    @Test(dataProvider = "wrongInstances")
    public void greetingComesLateFromAnotherInstance(Member wrong, long life) {
        Outcome outcome = new Outcome();
        start(MEANT, outcome);
        RecordingLink link = link(null, 0);
        mOpening.remove(0).accept(link);
        greet(link, wrong, life);

        assertNothingIsForwarded(link);
        assertTrue(link.mClosed, "closed");
        assertEquals(outcome.mFailures, List.of(ForwardListener.Failure.NOT_RUN));
    }

    /** Guards against a request sent on trust before it is known who answers. */
    @Test
    public void requestIsSentBeforeTheInstanceIsNamed() {
        Outcome outcome = new Outcome();
        start(MEANT, outcome);
        RecordingLink link = link(null, 0);
        mOpening.remove(0).accept(link);
        greet(link, null, 0);
        tickFor(SETTLED_MS);

        assertNothingIsForwarded(link);
        assertEquals(outcome.mFailures, List.of(ForwardListener.Failure.NOT_RUN));
    }

    @Test(dataProvider = "wrongInstances")
    public void addressIsTakenOverWhileRequestsAreOpen(Member wrong, long life) {
        Outcome sent = new Outcome();
        Outcome unsent = new Outcome();
        start(MEANT, sent);
        RecordingLink first = open(MEANT, LIFE);
        tickFor(LINKED_MS);
        first.close();
        start(MEANT, unsent);
        RecordingLink second = open(wrong, life);

        assertNothingIsForwarded(second);
        assertTrue(second.mClosed, "closed");
        assertEquals(sent.mFailures, List.of(ForwardListener.Failure.INTERRUPTED));
        assertEquals(unsent.mFailures, List.of(ForwardListener.Failure.NOT_RUN));
        assertEquals(reasons(), List.of("other process", "other member"));
    }

    /** Guards against links that are opened for ever to an instance that was not meant. */
    @Test
    public void wrongInstanceIsContactedAgainAndAgain() {
        ForwardCall cancelled = start(MEANT, new Outcome());
        start(MEANT, new Outcome());
        RecordingLink first = open(MEANT, LIFE);
        tickFor(LINKED_MS);
        cancelled.cancel();
        first.close();
        open(OTHER, OTHER_LIFE);
        tickFor(SETTLED_MS);

        assertTrue(mOpening.isEmpty(), "a link is opened though no request is open");
    }

    @Test
    public void requestForAnotherMemberIsSentOnAnEstablishedLink() {
        Outcome working = new Outcome();
        Outcome stray = new Outcome();
        start(MEANT, working);
        RecordingLink link = open(MEANT, LIFE);
        start(OTHER, stray);

        assertEquals(streams(link), List.of(1L), "only what is meant for the instance is sent");
        assertEquals(stray.mFailures, List.of(ForwardListener.Failure.NOT_RUN));
        assertEquals(working.mFailures, List.of());
        assertFalse(link.mClosed, "a request runs on the link");
        assertEquals(reasons(), List.of("other member"));
    }

    /** Guards against an instance that cannot be reached while a link to the one before is idle. */
    @Test
    public void idleLinkToTheInstanceBeforeStaysInTheWay() {
        start(MEANT, new Outcome()).cancel();
        RecordingLink first = open(MEANT, LIFE);
        start(OTHER, new Outcome());
        assertNothingIsForwarded(first);
        assertTrue(first.mClosed, "closed");

        Outcome outcome = new Outcome();
        start(OTHER, outcome);
        RecordingLink second = open(OTHER, OTHER_LIFE);

        assertEquals(streams(second).size(), 1);
        assertEquals(outcome.mFailures, List.of());
    }

    @Test
    public void requestsForBothMembersWaitForTheSameLink() {
        Outcome formerMember = new Outcome();
        Outcome presentMember = new Outcome();
        start(MEANT, formerMember);
        start(OTHER, presentMember);
        RecordingLink link = open(OTHER, OTHER_LIFE);

        assertEquals(streams(link), List.of(2L));
        assertEquals(formerMember.mFailures, List.of(ForwardListener.Failure.NOT_RUN));
        assertEquals(presentMember.mFailures, List.of());
        assertFalse(link.mClosed, "closed");
    }

    /** Guards against requests that go by the state of a member for which they were not meant. */
    @Test
    public void deathOfTheMemberBeforeEndsRequestsForTheNext() {
        Outcome formerMember = new Outcome();
        Outcome presentMember = new Outcome();
        start(MEANT, formerMember);
        start(OTHER, presentMember);
        mSender.membersChanged(List.of(MEANT.withState(MemberState.DEAD), OTHER));

        assertEquals(formerMember.mFailures, List.of(ForwardListener.Failure.NOT_RUN));
        assertEquals(presentMember.mFailures, List.of());
    }

    /** Guards against an answer that is lost as the address is known under another member. */
    @Test
    public void requestIsLostWhenItsLinkIsReplacedAfterAStrayOne() {
        Outcome working = new Outcome();
        start(MEANT, working);
        RecordingLink first = open(MEANT, LIFE);
        tickFor(LINKED_MS);
        start(OTHER, new Outcome());
        first.close();
        RecordingLink second = open(MEANT, LIFE);

        List<PeerMessage.ForwardResume> resumes = second.sent(PeerMessage.ForwardResume.class);
        assertEquals(resumes.size(), 1);
        assertEquals(resumes.get(0).streams().size(), 1, "streams that go on");
        assertEquals(working.mFailures, List.of());
    }

    @Test
    public void sameInstanceIsRefusedAfterItHasStartedAgain() {
        Outcome outcome = new Outcome();
        start(MEANT, outcome);
        RecordingLink link =
                open(MEANT.withIncarnationAndState(9, MemberState.LEAVING), OTHER_LIFE);

        assertEquals(streams(link), List.of(1L));
        assertEquals(outcome.mFailures, List.of());
    }

    private ForwardCall start(Member member, ForwardListener listener) {
        return mSender.start(
                member,
                stream -> SimulatedForwards.startMessage(stream, "a", 60_000),
                () -> false,
                listener);
    }

    private RecordingLink open(Member peer, long life) {
        RecordingLink link = link(peer, life);
        mOpening.remove(0).accept(link);
        return link;
    }

    private RecordingLink link(Member peer, long life) {
        RecordingLink link = new RecordingLink("receiver", life);
        link.mPeerMember = peer;
        mLinks.add(link);
        return link;
    }

    private void greet(RecordingLink link, Member peer, long life) {
        link.mPeerMember = peer;
        link.mPeerLife = life;
        mSender.handle(link, new PeerMessage.Hello(2, peer, life));
    }

    private void tickFor(long ms) {
        for (long untilMs = mNowMs + ms; mNowMs < untilMs; ) {
            mNowMs += TICK_MS;
            mSender.tick(mNowMs);
            for (RecordingLink link : mLinks) {
                if (!link.mClosed && link.takeKeepAlive()) {
                    mSender.handle(link, new PeerMessage.ForwardKeepAlive());
                }
            }
        }
    }

    private List<Object> reasons() {
        return mLog.stream()
                .filter(event -> event.message().equals("Forwarded requests are given up."))
                .map(event -> event.fields().get("reason"))
                .toList();
    }

    private static void assertNothingIsForwarded(RecordingLink link) {
        assertEquals(streams(link), List.of());
    }

    private static List<Long> streams(RecordingLink link) {
        return link.sent(PeerMessage.ForwardStart.class).stream()
                .map(PeerMessage.ForwardStart::stream)
                .toList();
    }

    private static Member member(String id, String region) {
        return new Member(
                InstanceId.of(id),
                1,
                RegionId.of(region),
                FailureDomainId.of(region + "-a"),
                "127.0.0.1",
                1,
                2,
                1,
                MemberState.LIVE);
    }

    /** Records how a forward has failed. */
    private static final class Outcome implements ForwardListener {

        private final List<Failure> mFailures = new ArrayList<>();

        @Override
        public void head(PeerMessage.ForwardHead head) {}

        @Override
        public void data(byte[] data) {}

        @Override
        public void ended() {}

        @Override
        public void failed(Failure failure) {
            mFailures.add(failure);
        }
    }
}
