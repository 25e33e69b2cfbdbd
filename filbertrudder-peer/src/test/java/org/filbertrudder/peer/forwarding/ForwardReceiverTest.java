package org.filbertrudder.peer.forwarding;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.filbertrudder.model.message.ForwardRecords;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the receiver of forwarded requests when it is held up or stops. */
public class ForwardReceiverTest {

    private static final long TICK_MS = 100;
    private static final long HOLD_UP_MS = 20_000;

    /** The time after which a session without a link is forgotten. */
    private static final long FORGOTTEN_MS = 601_000;

    private final List<ForwardedResponse> mRuns = new ArrayList<>();
    private final List<Long> mCancelled = new ArrayList<>();
    private long mNowMs;
    private boolean mRefuses;
    private ForwardReceiver mReceiver;
    private RecordingLink mLink;

    @BeforeMethod
    public void linkSender() {
        mRuns.clear();
        mCancelled.clear();
        mNowMs = 1_000;
        mRefuses = false;
        mReceiver =
                new ForwardReceiver(this::run, new HeldBytes(1_000_000), () -> mNowMs, event -> {});
        mLink = new RecordingLink("sender", 1);
        mReceiver.handle(mLink, new PeerMessage.ForwardResume(1, false, List.of()));
    }

    private void run(PeerMessage.ForwardStart start, ForwardedResponse response) {
        mRuns.add(response);
        response.onCancel(() -> mCancelled.add(start.stream()));
        if (mRefuses) {
            response.sendHead(503, Map.of());
            response.end(true);
        }
    }

    private static PeerMessage.ForwardStart start(long stream) {
        return SimulatedForwards.startMessage(stream, "a", 60_000);
    }

    private void tickFor(long ms) {
        for (long untilMs = mNowMs + ms; mNowMs < untilMs; ) {
            mNowMs += TICK_MS;
            mReceiver.tick(mNowMs);
        }
    }

    /** Guards against requests that run for nobody as long as the process was held up. */
    @Test
    public void requestOfASenderThatIsGoneRunsOnAfterAHoldUp() {
        mReceiver.handle(mLink, start(1));
        tickFor(TICK_MS);

        mNowMs += HOLD_UP_MS;
        mLink.close();
        mReceiver.tick(mNowMs);
        tickFor(ForwardReceiver.ORPHAN_MS + TICK_MS);

        assertEquals(mCancelled, List.of(1L));
    }

    @Test
    public void requestIsCancelledAsItsReceiverWasHeldUp() {
        mReceiver.handle(mLink, start(1));
        tickFor(TICK_MS);

        mNowMs += HOLD_UP_MS;
        mReceiver.tick(mNowMs);

        assertEquals(mCancelled, List.of());
        assertFalse(mLink.mClosed);
    }

    /** The sender has been told that what it sends from now on does not run. */
    @Test
    public void stopWaitsForARefusalOfARequestThatCrossedItsEnd() {
        mRefuses = true;
        CompletableFuture<Void> ended = mReceiver.endLinks();
        mReceiver.handle(mLink, start(1));

        mLink.close();

        assertTrue(ended.isDone());
    }

    /** Guards against "unknown" for a request that crossed the end of a link that fell silent. */
    @Test
    public void requestThatCrossedTheEndOfALinkIsTakenForUnknown() {
        mReceiver.endLinks();
        mReceiver.handle(mLink, start(1));

        RecordingLink next = new RecordingLink("sender", 1);
        mReceiver.handle(
                next,
                new PeerMessage.ForwardResume(2, true, List.of(new ForwardRecords.Open(1, 0, 0))));

        assertEquals(mRuns.size(), 0);
        assertEquals(next.mSent, List.of(new PeerMessage.ForwardUnknown(1, false)));
    }

    /** Returns what the receiver has said of the streams that it does not know. */
    private static List<Boolean> mayHaveRun(RecordingLink link) {
        return link.sent(PeerMessage.ForwardUnknown.class).stream()
                .map(PeerMessage.ForwardUnknown::mayHaveRun)
                .toList();
    }

    private RecordingLink resume(long generation, boolean known, long stream) {
        RecordingLink link = new RecordingLink("sender", 1);
        mReceiver.handle(
                link,
                new PeerMessage.ForwardResume(
                        generation, known, List.of(new ForwardRecords.Open(stream, 0, 0))));
        return link;
    }

    private void runUntilForgotten() {
        mReceiver.handle(mLink, start(1));
        tickFor(TICK_MS);
        mLink.close();
        tickFor(FORGOTTEN_MS);
        assertEquals(mCancelled, List.of(1L));
    }

    /** Guards against "not run" for a request that ran, as the first statement was lost. */
    @Test
    public void requestOfAForgottenSessionIsTakenForNotRunOnceTheReplyIsLost() {
        runUntilForgotten();

        RecordingLink first = resume(2, true, 1);
        first.close();
        RecordingLink second = resume(3, true, 1);

        assertEquals(mayHaveRun(first), List.of(true));
        assertEquals(mayHaveRun(second), List.of(true));
    }

    /** The sender has received nothing of this instance before its link was lost. */
    @Test
    public void requestOfAForgottenSessionIsTakenForNotRun() {
        runUntilForgotten();

        assertEquals(mayHaveRun(resume(2, false, 1)), List.of(true));
    }

    /** Lists the incarnations of a late earlier process and of the present one. */
    @DataProvider
    public Object[][] incarnationsOfProcesses() {
        return new Object[][] {{1, 2}, {5, 1_000}};
    }

    /** Guards against a late message of a process that has ended, which ends its successor. */
    @Test(dataProvider = "incarnationsOfProcesses")
    public void lateResumeOfAnEarlierProcessEndsItsSuccessor(int earlier, int present) {
        RecordingLink link = linkOfProcess(2, present);
        mReceiver.handle(link, new PeerMessage.ForwardResume(1, false, List.of()));
        mReceiver.handle(link, start(1));
        RecordingLink late = linkOfProcess(3, earlier);
        mReceiver.handle(late, new PeerMessage.ForwardResume(1, false, List.of()));

        assertEquals(mCancelled, List.of());
        assertFalse(link.mClosed);
        mReceiver.handle(link, start(2));
        assertEquals(mRuns.size(), 2);
    }

    /** The last requests of a process are not run longer than without its successor. */
    @Test
    public void requestsOfALateProcessRunOn() {
        RecordingLink link = linkOfProcess(2, 2);
        mReceiver.handle(link, new PeerMessage.ForwardResume(1, false, List.of()));
        RecordingLink late = linkOfProcess(3, 1);
        mReceiver.handle(late, new PeerMessage.ForwardResume(1, false, List.of()));
        mReceiver.handle(late, start(1));
        late.close();
        tickFor(ForwardReceiver.ORPHAN_MS + TICK_MS);

        assertEquals(mCancelled, List.of(1L));
    }

    private static RecordingLink linkOfProcess(long life, long incarnation) {
        RecordingLink link = new RecordingLink("sender", life);
        link.mPeerMember = link.mPeerMember.withIncarnationAndState(incarnation, MemberState.LIVE);
        return link;
    }
}
