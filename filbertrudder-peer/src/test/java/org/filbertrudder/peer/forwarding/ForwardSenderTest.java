package org.filbertrudder.peer.forwarding;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the sender of forwarded requests on links whose events come in a given order. */
public class ForwardSenderTest {

    private static final Member RECEIVER = SimulatedForwards.member("receiver");
    private static final long LIFE = 7;
    private static final long TICK_MS = 100;

    /** How long a link lives that is opened again at once when it closes. */
    private static final long LINKED_MS = 300;

    private static final long DEATH_NOTICED_MS = 1_500;

    /** Longer than the time after which a silence in one direction is found first. */
    private static final long SLOW_ANSWER_MS = 4_000;

    private final List<Consumer<? super ForwardLink>> mOpening = new ArrayList<>();
    private final List<ForwardEvent> mLog = new ArrayList<>();
    private RecordingLink mOpenLink;
    private boolean mRepeatable;
    private int mOpened;
    private long mNowMs;
    private ForwardSender mSender;

    @BeforeMethod
    public void createSender() {
        mOpening.clear();
        mLog.clear();
        mOpenLink = null;
        mRepeatable = false;
        mOpened = 0;
        mNowMs = 1_000;
        mSender =
                new ForwardSender(
                        (address, action) -> {
                            mOpened++;
                            if (mOpenLink == null) {
                                mOpening.add(action);
                            } else {
                                action.accept(mOpenLink);
                            }
                        },
                        () -> mNowMs,
                        mLog::add);
    }

    private ForwardCall start(ForwardListener listener) {
        return mSender.start(
                RECEIVER,
                stream -> SimulatedForwards.startMessage(stream, "a", 60_000),
                () -> mRepeatable,
                listener);
    }

    private void open(ForwardLink link) {
        mOpening.remove(0).accept(link);
    }

    private void tickFor(long ms) {
        for (long untilMs = mNowMs + ms; mNowMs < untilMs; ) {
            mNowMs += TICK_MS;
            mSender.tick(mNowMs);
            if (mOpenLink != null && mOpenLink.takeKeepAlive()) {
                mSender.handle(mOpenLink, new PeerMessage.ForwardKeepAlive());
            }
        }
    }

    private RecordingLink greetedLink() {
        return new RecordingLink("receiver", LIFE);
    }

    private RecordingLink linkWithoutGreeting() {
        RecordingLink link = greetedLink();
        link.mPeerMember = null;
        return link;
    }

    /** Guards against "not run" for a request that was sent meanwhile. */
    @Test
    public void requestThatIsSentWhileOthersFailIsTakenForNotRun() {
        RecordingLink first = linkWithoutGreeting();
        Outcome retried = new Outcome();
        Outcome failing = new Outcome();
        Outcome other = new Outcome();
        failing.mOnFailed = () -> start(retried);
        start(failing);
        start(other);
        open(first);

        mOpenLink = greetedLink();
        first.close();

        List<Long> sent =
                mOpenLink.sent(PeerMessage.ForwardStart.class).stream()
                        .map(PeerMessage.ForwardStart::stream)
                        .toList();
        assertEquals(sent, List.of(3L), "only the retried request is sent");
        assertEquals(other.mFailures, List.of(ForwardListener.Failure.NOT_RUN));
        assertEquals(retried.mFailures, List.of());
    }

    /** Guards against requests that run on for nobody, as their cancellation was not sent. */
    @Test
    public void requestIsAnnouncedAsOpenWhileItIsGivenUp() {
        RecordingLink first = greetedLink();
        Outcome failing = new Outcome();
        failing.mOnFailed = () -> start(new Outcome());
        Outcome other = new Outcome();
        mRepeatable = true;
        start(failing);
        start(other);
        open(first);
        tickFor(LINKED_MS);
        first.close();

        mOpenLink = greetedLink();
        open(null);

        assertEquals(other.mFailures, List.of(ForwardListener.Failure.INTERRUPTED));
        List<PeerMessage.ForwardResume> resumes = mOpenLink.sent(PeerMessage.ForwardResume.class);
        assertEquals(resumes.size(), 1);
        assertEquals(resumes.get(0).streams(), List.of(), "no stream is open");
    }

    @Test
    public void requestOnTheNextLinkIsGivenUpWithTheOneBefore() {
        RecordingLink first = greetedLink();
        Outcome retried = new Outcome();
        Outcome waiting = new Outcome();
        waiting.mOnFailed = () -> start(retried);
        mRepeatable = true;
        start(new Outcome());
        open(first);
        first.close();
        start(waiting);

        mOpenLink = greetedLink();
        open(null);

        assertEquals(waiting.mFailures, List.of(ForwardListener.Failure.NOT_RUN));
        assertEquals(retried.mFailures, List.of());
    }

    /** Guards against close actions that accumulate on links that live long. */
    @Test
    public void sessionsThatAreForgottenStayWithTheirLink() {
        RecordingLink link = greetedLink();
        mOpenLink = link;
        for (int i = 0; i < 10; i++) {
            start(new Outcome()).cancel();
            tickFor(31_000);
        }

        assertEquals(link.sent(PeerMessage.ForwardStart.class).size(), 10);
        assertTrue(link.mCloseActions.size() <= 1, "actions: " + link.mCloseActions.size());
    }

    /** Guards against links to a new process that are watched, and opened again, for ever. */
    @Test
    public void sessionStaysInUseAfterItsReceiverHasStartedAgain() {
        RecordingLink first = greetedLink();
        start(new Outcome());
        open(first);
        tickFor(LINKED_MS);
        first.close();
        RecordingLink second = new RecordingLink("receiver", LIFE + 1);
        open(second);
        mOpenLink = second;
        tickFor(3_000);
        second.close();
        tickFor(300);

        assertEquals(mOpened, 2, "links opened");
    }

    /** The kernel of a frozen instance accepts connections. */
    @Test
    public void deathIsMissedWhileALinkIsNotGreeted() {
        RecordingLink first = greetedLink();
        Outcome outcome = new Outcome();
        start(outcome);
        open(first);
        tickFor(LINKED_MS);
        first.close();
        open(linkWithoutGreeting());

        mSender.membersChanged(List.of(RECEIVER.withState(MemberState.DEAD)));

        assertEquals(outcome.mFailures, List.of(ForwardListener.Failure.INTERRUPTED));
    }

    /** Guards against requests that wait for their deadline though their instance is dead. */
    @Test
    public void deathIsMissedThatIsReportedBeforeTheLinkCloses() {
        RecordingLink first = greetedLink();
        Outcome outcome = new Outcome();
        start(outcome);
        open(first);
        tickFor(LINKED_MS);
        mSender.membersChanged(List.of(RECEIVER.withState(MemberState.DEAD)));
        assertEquals(outcome.mFailures, List.of(), "the link works");

        first.close();
        tickFor(DEATH_NOTICED_MS);

        assertEquals(outcome.mFailures, List.of(ForwardListener.Failure.INTERRUPTED));
    }

    /** What was read first after a hold-up is not excluded from the time without messages. */
    @Test
    public void silenceAfterAHoldUpIsFoundLate() {
        RecordingLink link = greetedLink();
        link.mPeerLife = 0;
        start(new Outcome());
        open(link);
        tickFor(TICK_MS);

        mNowMs += 20_000;
        mSender.handle(link, new PeerMessage.ForwardKeepAlive());
        mSender.tick(mNowMs);
        tickFor(3_000);

        assertTrue(link.mClosed);
    }

    /** Guards against an instance that opens links without a pause. */
    @Test
    public void linksThatCloseAtOnceAreOpenedWithoutAPause() {
        start(new Outcome());
        for (int i = 0; i < 1_000; i++) {
            if (!mOpening.isEmpty()) {
                RecordingLink link = greetedLink();
                open(link);
                link.close();
            }
            if (i % 10 == 0) {
                tickFor(TICK_MS);
            }
        }

        assertTrue(mOpened <= 100, "links opened in 10 s: " + mOpened);
    }

    /** Guards against requests that run on for nobody, as a reset took their cancellation. */
    @Test
    public void cancellationIsLostWithAReset() {
        RecordingLink link = greetedLink();
        ForwardCall call = start(new Outcome());
        open(link);
        tickFor(300);
        call.cancel();
        link.close();
        tickFor(300);

        assertEquals(mOpened, 2, "links opened");
    }

    @Test
    public void idleLinkIsOpenedAgainThoughNothingMustBeAnnounced() {
        RecordingLink link = greetedLink();
        ForwardCall call = start(new Outcome());
        open(link);
        mOpenLink = link;
        call.cancel();
        tickFor(3_000);
        mOpenLink = null;
        link.close();
        tickFor(300);

        assertEquals(mOpened, 1, "links opened");
    }

    /** Guards against a slow link that is replaced again and again, with what it has in flight. */
    @Test
    public void slowLinkThatDeliversIsReplacedAgainAndAgain() {
        int links = deliverWithAnswersLate(SLOW_ANSWER_MS, 60_000);

        assertTrue(links <= 3, "links: " + links);
    }

    /** The delay grows with a queue, so that the answers before show it. */
    @Test
    public void linkWhoseDelayGrowsIsReplaced() {
        int links = deliverWithAnswersLate(0, 12_000);

        assertEquals(links, 1);
    }

    /** Guards against a silence in one direction that is found late after a slow time. */
    @Test
    public void silenceInOneDirectionIsFoundLateOnceAnswersAreFast() {
        deliverWithAnswersLate(SLOW_ANSWER_MS, 30_000);
        RecordingLink link = mOpenLink;
        tickFor(8_000);
        assertFalse(link.mClosed);

        for (long untilMs = mNowMs + 2_500 + 1_000; mNowMs < untilMs; ) {
            advance(link);
        }

        assertTrue(link.mClosed);
    }

    /**
     * Delivers data all the time, and answers each keep-alive late; returns how many links were
     * used.
     *
     * @param delayMs how late; 0 for a delay that grows by a third of the time passed
     */
    private int deliverWithAnswersLate(long delayMs, long forMs) {
        List<RecordingLink> links = new ArrayList<>();
        Deque<Long> askedMs = new ArrayDeque<>();
        start(new Outcome());
        long startMs = mNowMs;
        while (mNowMs < startMs + forMs) {
            if (!mOpening.isEmpty()) {
                mOpenLink = greetedLink();
                links.add(mOpenLink);
                askedMs.clear();
                open(mOpenLink);
            }
            RecordingLink link = mOpenLink;
            mOpenLink = null;
            if (advance(link)) {
                askedMs.add(mNowMs);
            }
            mOpenLink = link;
            long lateMs = delayMs > 0 ? delayMs : (mNowMs - startMs) / 3;
            if (!link.mClosed && !askedMs.isEmpty() && mNowMs - askedMs.peek() >= lateMs) {
                askedMs.poll();
                mSender.handle(link, new PeerMessage.ForwardKeepAlive());
            }
        }
        return links.size();
    }

    /** Delivers data for one tick; returns whether a keep-alive was sent. */
    private boolean advance(RecordingLink link) {
        mNowMs += TICK_MS;
        mSender.handle(link, new PeerMessage.ForwardData(1, new byte[1_000]));
        mSender.tick(mNowMs);
        return link.takeKeepAlive();
    }

    /** Records how a forward has failed. */
    private static final class Outcome implements ForwardListener {

        private final List<Failure> mFailures = new ArrayList<>();
        private Runnable mOnFailed = () -> {};

        @Override
        public void head(PeerMessage.ForwardHead head) {}

        @Override
        public void data(byte[] data) {}

        @Override
        public void ended() {}

        @Override
        public void failed(Failure failure) {
            mFailures.add(failure);
            mOnFailed.run();
        }
    }
}
