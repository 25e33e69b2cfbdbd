package org.filbertrudder.peer.forwarding;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.filbertrudder.model.message.ForwardRecords;
import org.filbertrudder.model.message.PeerMessage;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that bad messages of a peer end a stream or a link, and leave nothing behind. */
public class BadForwardMessagesTest {

    private static final long RETAINED_BYTES = 1_000_000;
    private static final int PART_BYTES = 1_000;
    private static final long AFTER_ORPHANS_MS = ForwardReceiver.ORPHAN_MS + 1_000;

    private final List<String> mLog = new ArrayList<>();
    private final List<Long> mCancelled = new ArrayList<>();
    private final Map<Long, ForwardedResponse> mRuns = new LinkedHashMap<>();
    private HeldBytes mRetained;
    private long mNowMs;
    private ForwardReceiver mReceiver;
    private RecordingLink mLink;

    @BeforeMethod
    public void linkSender() {
        mLog.clear();
        mRuns.clear();
        mCancelled.clear();
        mNowMs = 1_000;
        mRetained = new HeldBytes(RETAINED_BYTES);
        mReceiver =
                new ForwardReceiver(
                        this::run, mRetained, () -> mNowMs, event -> mLog.add(event.message()));
        mLink = new RecordingLink("sender", 1);
        mReceiver.handle(mLink, resume(1));
    }

    private void run(PeerMessage.ForwardStart start, ForwardedResponse response) {
        assertFalse(mRuns.containsKey(start.stream()), "runs once: " + start.stream());
        mRuns.put(start.stream(), response);
        response.onCancel(() -> mCancelled.add(start.stream()));
    }

    private static PeerMessage.ForwardStart start(long stream) {
        return SimulatedForwards.startMessage(stream, "a", 60_000);
    }

    private static PeerMessage.ForwardResume resume(
            long generation, ForwardRecords.Open... streams) {
        return new PeerMessage.ForwardResume(generation, generation > 1, List.of(streams));
    }

    private static ForwardRecords.Open open(long stream, int parts, long creditedBytes) {
        return new ForwardRecords.Open(stream, parts, creditedBytes);
    }

    /** Starts a request whose response has sent its head and a part. */
    private void startAndAnswer(long stream) {
        mReceiver.handle(mLink, start(stream));
        mRuns.get(stream).sendHead(200, Map.of());
        mRuns.get(stream).write(Buffer.buffer(new byte[PART_BYTES]));
    }

    private void tickFor(long ms) {
        for (long untilMs = mNowMs + ms; mNowMs < untilMs; mNowMs += 100) {
            mReceiver.tick(mNowMs);
        }
    }

    private void assertUnknown(RecordingLink link, long stream, boolean mayHaveRun) {
        assertEquals(
                link.sent(PeerMessage.ForwardUnknown.class),
                List.of(new PeerMessage.ForwardUnknown(stream, mayHaveRun)));
    }

    /** Lists positions that the response to stream 1, with two parts, cannot go on from. */
    @DataProvider
    public Object[][] badPositions() {
        return new Object[][] {
            {3, 0L}, {-1, 0L}, {Integer.MAX_VALUE, 0L}, {2, PART_BYTES + 1L}, {2, Long.MAX_VALUE}
        };
    }

    @Test(dataProvider = "badPositions")
    public void badPositionEndsMoreThanItsStream(int receivedParts, long creditedBytes) {
        startAndAnswer(1);
        startAndAnswer(2);
        mLink.close();
        mLink = new RecordingLink("sender", 1);

        mReceiver.handle(
                mLink, resume(2, open(1, receivedParts, creditedBytes), open(2, 2, PART_BYTES)));

        assertUnknown(mLink, 1, true);
        assertEquals(mCancelled, List.of(1L));
        assertTrue(mLog.contains("A forwarded request is ended."), mLog.toString());
        assertFalse(mLink.mClosed);
        assertEquals(mRetained.heldBytes(), 0);
    }

    /** Lists credits that exceed what was written, or are negative. */
    @DataProvider
    public Object[][] badCredits() {
        return new Object[][] {{PART_BYTES + 1L}, {-1L}, {Long.MAX_VALUE}, {Long.MIN_VALUE}};
    }

    @Test(dataProvider = "badCredits")
    public void badCreditEndsMoreThanItsStream(long bytes) {
        startAndAnswer(1);
        startAndAnswer(2);
        mReceiver.handle(mLink, new PeerMessage.ForwardCredit(1, 1));
        mReceiver.handle(mLink, new PeerMessage.ForwardCredit(1, bytes));
        mReceiver.handle(mLink, new PeerMessage.ForwardCredit(2, PART_BYTES));

        assertUnknown(mLink, 1, true);
        assertEquals(mCancelled, List.of(1L));
        assertFalse(mLink.mClosed);
        assertEquals(mRetained.heldBytes(), 0);
    }

    /** Lists the messages about streams that were never started. */
    @DataProvider
    public Object[][] messagesOfUnknownStreams() {
        return new Object[][] {
            {new PeerMessage.ForwardCredit(7, 1)},
            {new PeerMessage.ForwardCancel(7)},
            {new PeerMessage.ForwardCancel(Long.MIN_VALUE)}
        };
    }

    @Test(dataProvider = "messagesOfUnknownStreams")
    public void messageOfAnUnknownStreamHasAnEffect(PeerMessage message) {
        startAndAnswer(1);
        mReceiver.handle(mLink, message);

        assertEquals(mCancelled, List.of());
        assertFalse(mLink.mClosed);
    }

    @Test
    public void messageWithoutASessionHasAnEffect() {
        RecordingLink other = new RecordingLink("other", 2);
        mReceiver.handle(other, new PeerMessage.ForwardCredit(1, 1));
        mReceiver.handle(other, new PeerMessage.ForwardKeepAlive());
        mReceiver.handle(other, start(1));

        assertEquals(mRuns.size(), 0);
        assertEquals(other.mSent, List.of(new PeerMessage.ForwardUnknown(1, false)));
        assertEquals(other.mCloseActions.size(), 0);
    }

    /** A sender waits for the response to what it started, whatever the number. */
    @Test
    public void startWithANumberThatGoesBackIsNotAnswered() {
        startAndAnswer(5);
        mRuns.get(5L).end(true);
        mReceiver.handle(mLink, new PeerMessage.ForwardCredit(5, PART_BYTES + 1));

        mReceiver.handle(mLink, start(5));

        assertUnknown(mLink, 5, true);
        assertEquals(mRuns.size(), 1);
    }

    @Test
    public void runningRequestIsEndedByAStartThatComesTwice() {
        startAndAnswer(5);

        mReceiver.handle(mLink, start(5));

        assertEquals(mLink.sent(PeerMessage.ForwardUnknown.class), List.of());
        assertEquals(mCancelled, List.of());
    }

    /** Guards against a sender that was told "not run" and whose request runs then. */
    @Test
    public void requestRunsAfterItWasSaidNeverToHaveStarted() {
        mLink = new RecordingLink("sender", 1);
        mReceiver.handle(mLink, resume(2, open(9, 0, 0)));
        mReceiver.handle(mLink, start(9));

        assertEquals(mRuns.size(), 0);
        assertEquals(
                mLink.sent(PeerMessage.ForwardUnknown.class),
                List.of(
                        new PeerMessage.ForwardUnknown(9, false),
                        new PeerMessage.ForwardUnknown(9, false)));
    }

    /** Guards against small messages that let a response be sent, and buffered, many times. */
    @Test
    public void streamThatIsNamedTwiceIsSentTwice() {
        startAndAnswer(1);
        mLink.close();
        mLink = new RecordingLink("sender", 1);

        mReceiver.handle(mLink, resume(2, open(1, 0, 0), open(1, 0, 0)));

        assertTrue(mLink.mClosed);
        assertEquals(mLink.sent(PeerMessage.ForwardData.class).size(), 0);
    }

    @Test
    public void responseIsSentAgainOnTheSameLink() {
        startAndAnswer(1);
        for (int generation = 2; generation < 100; generation++) {
            mReceiver.handle(mLink, resume(generation, open(1, 0, 0)));
        }

        assertEquals(mLink.sent(PeerMessage.ForwardData.class).size(), 1);
        assertTrue(mLink.mClosed);
    }

    /** A sender that has forgotten its idle session uses the same link again. */
    @Test
    public void sessionWithoutStreamsDoesNotBeginAgainOnTheSameLink() {
        mReceiver.handle(mLink, resume(2));
        startAndAnswer(3);

        assertFalse(mLink.mClosed);
        assertEquals(mRuns.size(), 1);
    }

    @Test
    public void earlierGenerationReplacesALink() {
        startAndAnswer(1);
        RecordingLink late = new RecordingLink("sender", 1);
        mReceiver.handle(late, resume(0));

        assertTrue(late.mClosed);
        assertFalse(mLink.mClosed);
        assertEquals(mCancelled, List.of());
    }

    /** Guards against requests that nobody watches, as their link was taken for another process. */
    @Test
    public void secondGreetingLeavesRequestsBehind() {
        startAndAnswer(1);
        mLink.mPeerMember = SimulatedForwards.member("other");
        mLink.mPeerLife = 2;
        mReceiver.handle(mLink, resume(2));
        mLink.close();

        tickFor(AFTER_ORPHANS_MS);

        assertEquals(mCancelled, List.of(1L));
        assertEquals(mRetained.heldBytes(), 0);
    }

    /** Guards against requests that run for an earlier process, whose last messages come late. */
    @Test
    public void requestOfAnEarlierProcessRuns() {
        RecordingLink next = new RecordingLink("sender", 2);
        mReceiver.handle(next, resume(1));

        mReceiver.handle(mLink, start(1));

        assertEquals(mRuns.size(), 0);
        assertTrue(mLink.mClosed);
        assertFalse(next.mClosed);
    }

    @Test
    public void positionsOfAnOlderReleaseAreAccepted() {
        RecordingLink older = new RecordingLink("older", 0);
        mReceiver.handle(older, resume(1));

        assertTrue(older.mClosed);
    }

    /** A missing list is read as an empty one. */
    @Test
    public void missingListEndsTheLink() {
        mReceiver.handle(mLink, new PeerMessage.ForwardResume(2, false, null));

        assertFalse(mLink.mClosed);
    }

    @Test
    public void missingPositionIsAccepted() {
        mReceiver.handle(
                mLink, new PeerMessage.ForwardResume(2, false, Collections.singletonList(null)));

        assertTrue(mLink.mClosed);
    }

    @Test
    public void unknownStreamsStayAfterTheirResume() {
        mLink = new RecordingLink("sender", 1);
        mReceiver.handle(mLink, resume(2, open(Long.MAX_VALUE, 0, 0), open(-1, 0, 0)));

        assertEquals(
                mLink.sent(PeerMessage.ForwardUnknown.class),
                List.of(
                        new PeerMessage.ForwardUnknown(Long.MAX_VALUE, false),
                        new PeerMessage.ForwardUnknown(-1, true)));
        assertEquals(mRuns.size(), 0);
        assertEquals(mRetained.heldBytes(), 0);
    }
}
