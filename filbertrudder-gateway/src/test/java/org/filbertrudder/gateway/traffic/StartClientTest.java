package org.filbertrudder.gateway.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import org.filbertrudder.gateway.config.Backend;
import org.filbertrudder.gateway.config.RequestKind;
import org.filbertrudder.gateway.config.RouteRule;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.gateway.control.GatewaySnapshot;
import org.filbertrudder.model.AllowedRegions;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.StartRecords;
import org.filbertrudder.policy.limits.LimitObservation;
import org.filbertrudder.policy.limits.SendPermits;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.routing.EndpointTable;
import org.filbertrudder.policy.routing.PromptDemand;
import org.filbertrudder.policy.routing.PromptPart;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that each request is decided on by one side, whatever becomes of the scheduler. */
public class StartClientTest {

    private static final ServiceId SERVICE = ServiceId.of("chat");
    private static final RegionId REGION = RegionId.of("mtl");
    private static final RegionId OTHER_REGION = RegionId.of("fra");
    private static final FailureDomainId DOMAIN = FailureDomainId.of("mtl-a");
    private static final EndpointId ENDPOINT = EndpointId.of("e-1");
    private static final EndpointId SPARE_ENDPOINT = EndpointId.of("e-2");
    private static final Member SELF = member("self", REGION, 1);
    private static final long GOAL_MS = 10_000;

    private final List<Sent> mSent = new ArrayList<>();
    private final List<String> mEvents = new ArrayList<>();
    private final PriorityQueue<Timer> mTimers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::atMs));
    private long mNowMs;
    private boolean mRefusesStarts;
    private List<Member> mMembers;
    private GatewaySnapshot mSnapshot;
    private EndpointTable mTable;
    private StartClient mClient;
    private GatewayExchange mExchange;

    @BeforeMethod
    public void createClientWithThreeCandidates() {
        mSent.clear();
        mEvents.clear();
        mTimers.clear();
        mRefusesStarts = false;
        mNowMs = Clocks.steadyMs() + 100_000;
        mTable = new EndpointTable();
        mTable.setEndpoints(List.of(endpoint(ENDPOINT), endpoint(SPARE_ENDPOINT)), mNowMs);
        setMembers(List.of(member("a", REGION, 1), member("b", REGION, 1), member("c", REGION, 1)));
        mClient = client(new SchedulingScope(true));
        mExchange = exchange();
    }

    private StartClient client(SchedulingScope scope) {
        return new StartClient(
                scope,
                new StartContext(
                        () -> mSnapshot,
                        mTable,
                        () -> mNowMs,
                        (delayMs, action) -> mTimers.add(new Timer(mNowMs + delayMs, action)),
                        Starts::new,
                        exchange -> mEvents.add("routed"),
                        exchange -> mClient.submit(exchange),
                        new StartMetrics(new GatewayMetrics())),
                new RecordingNetwork());
    }

    private static Endpoint endpoint(EndpointId id) {
        return Endpoint.of(id, SERVICE, REGION, DOMAIN, "127.0.0.1", 1, 8);
    }

    private static Member member(String id, RegionId region, int port) {
        return new Member(
                InstanceId.of(id), 1, region, DOMAIN, "h", port, port, port, MemberState.LIVE);
    }

    private void setMembers(List<Member> members) {
        mMembers = members;
        List<Member> all = new ArrayList<>(members);
        all.add(member("f", OTHER_REGION, 1));
        mSnapshot = new GatewaySnapshot(null, List.of(), SELF, all);
    }

    private GatewayExchange exchange() {
        RouteRule route =
                new RouteRule(
                        "r",
                        "h",
                        "/",
                        RequestKind.STREAM,
                        60_000,
                        GOAL_MS,
                        400,
                        1,
                        List.of(new Backend(SERVICE, 1)),
                        2,
                        false,
                        true,
                        AllowedRegions.any());
        PromptDemand prompt = new PromptDemand(List.of(new PromptPart("p", 700)), 700, 90);
        RequestHead head =
                new RequestHead(
                        "a1",
                        "h",
                        Optional.empty(),
                        OptionalLong.empty(),
                        Optional.empty(),
                        Optional.of(prompt),
                        0,
                        Map.of());
        return new GatewayExchange(
                head,
                "POST",
                "/x",
                Buffer.buffer("body"),
                route,
                Optional.empty(),
                SERVICE,
                false,
                null,
                mNowMs);
    }

    /** Lets time pass, with ticks every 100 ms. */
    private void run(long durationMs) {
        long endMs = mNowMs + durationMs;
        for (long tickMs = mNowMs + 100; tickMs <= endMs; tickMs += 100) {
            runTimers(tickMs);
            mClient.tick();
        }
        runTimers(endMs);
    }

    private void runTimers(long untilMs) {
        while (!mTimers.isEmpty() && mTimers.peek().atMs() <= untilMs) {
            Timer timer = mTimers.poll();
            mNowMs = Math.max(mNowMs, timer.atMs());
            timer.action().run();
        }
        mNowMs = untilMs;
    }

    private List<StartRecords.Request> requestsTo(Member member) {
        List<StartRecords.Request> requests = new ArrayList<>();
        for (Sent sent : mSent) {
            if (sent.to().equals(member.id())
                    && sent.message() instanceof PeerMessage.StartRequests message) {
                requests.addAll(message.requests());
            }
        }
        return requests;
    }

    private List<Long> cancelledAt(Member member) {
        List<Long> cancelled = new ArrayList<>();
        for (Sent sent : mSent) {
            if (sent.to().equals(member.id())
                    && sent.message() instanceof PeerMessage.StartReport report) {
                cancelled.addAll(report.cancelled());
            }
        }
        return cancelled;
    }

    /** Returns the member that got the last requests. */
    private Member lastAsked() {
        InstanceId asked = null;
        for (Sent sent : mSent) {
            if (sent.message() instanceof PeerMessage.StartRequests message
                    && !message.requests().isEmpty()) {
                asked = sent.to();
            }
        }
        InstanceId id = asked;
        return mMembers.stream().filter(member -> member.id().equals(id)).findFirst().orElseThrow();
    }

    private long lastNumber() {
        List<StartRecords.Request> requests = requestsTo(lastAsked());
        return requests.get(requests.size() - 1).number();
    }

    private void decide(Member from, StartRecords.Decision... decisions) {
        mClient.handle(from, new PeerMessage.StartDecisions(SERVICE, List.of(decisions)));
    }

    private static StartRecords.Decision start(long number, EndpointId endpoint) {
        return new StartRecords.Decision(
                number, StartRecords.Kind.START, endpoint, null, 0, null, 5, 2, 900);
    }

    /** Guards against messages that instances of earlier releases do not know, and their cost. */
    @Test
    public void anUnscheduledServiceSendsNothing() {
        mClient = client(new SchedulingScope(false));
        mClient.noteStatement(mExchange, new LoadStatement(1, 2, OptionalInt.empty()));

        assertFalse(mClient.submit(mExchange));
        mClient.claim(mExchange, ENDPOINT).ended(5);
        run(2_000);
        assertEquals(mSent, List.of());
        assertEquals(mTimers.size(), 0);
    }

    /** Guards against a service that stays unscheduled although its endpoints state their pace. */
    @Test
    public void aStatedPaceSchedulesTheService() {
        mClient = client(new SchedulingScope(false));
        mClient.noteStatement(mExchange, new LoadStatement(1, 2, OptionalInt.of(150)));

        assertTrue(mClient.submit(mExchange));
    }

    /** Guards against the refusal of requests that may only run in another region. */
    @Test
    public void aRequestThatMustRunElsewhereIsRoutedAsBefore() {
        mExchange.triedRegions().add(REGION);

        assertFalse(mClient.submit(mExchange));
    }

    /** Guards against an engine with a request limit that gets no requests any more. */
    @Test
    public void anEngineWithALimitGetsRequestsByItsPermits() {
        mTable.recordLimit(
                SPARE_ENDPOINT,
                new LimitObservation(OptionalDouble.of(10), mNowMs, mNowMs),
                mNowMs);
        SendPermits permits = mTable.findById(SPARE_ENDPOINT).orElseThrow().permits().orElseThrow();
        permits.request(1, mNowMs);
        permits.handleReply(1, 1, 0, mNowMs);
        mClient.submit(mExchange);
        permits.use();
        mClient.submit(exchange());

        assertEquals(mEvents, List.of("start e-2"));
        assertEquals(mClient.waiting(), 1);
    }

    /** Guards against a start without reports, whose slot stays occupied at the scheduler. */
    @Test
    public void aStartIsCarriedOutAndReported() {
        mClient.submit(mExchange);
        assertTrue(mExchange.queued());
        run(5);
        decide(lastAsked(), start(lastNumber(), ENDPOINT));
        run(20);

        assertEquals(mEvents, List.of("start e-1"));
        assertFalse(mExchange.queued());
        PeerMessage.StartReport report =
                (PeerMessage.StartReport) mSent.get(mSent.size() - 1).message();
        assertEquals(report.ended(), List.of(new StartRecords.Ended(lastNumber(), 7)));
        assertTrue(mExchange.traceText().contains("sched=" + lastAsked().id() + " waitedMs=5"));
    }

    /** Guards against capacity that stays taken after a start that the instance refuses. */
    @Test
    public void aStartThatIsNotMadeIsCancelled() {
        mRefusesStarts = true;
        mClient.submit(mExchange);
        run(5);
        decide(lastAsked(), start(lastNumber(), ENDPOINT));
        run(20);

        assertEquals(cancelledAt(lastAsked()), List.of(lastNumber()));
    }

    /** Lists endpoints that a decision may name although this instance cannot use them. */
    @DataProvider
    public Object[][] unusableEndpoints() {
        return new Object[][] {{ENDPOINT}, {EndpointId.of("unknown")}};
    }

    /** Guards against requests that are lost or sent to a broken endpoint. */
    @Test(dataProvider = "unusableEndpoints")
    public void anUnusableEndpointIsExcluded(EndpointId endpoint) {
        mTable.findById(ENDPOINT).orElseThrow().markUnreachable(mNowMs);
        mClient.submit(mExchange);
        run(5);
        long number = lastNumber();
        decide(lastAsked(), start(number, endpoint));
        run(20);

        List<StartRecords.Request> requests = requestsTo(lastAsked());
        assertEquals(requests.get(1).excluded(), List.of(endpoint));
        assertEquals(requests.get(1).number(), number);
        assertEquals(cancelledAt(lastAsked()), List.of());
        assertEquals(mEvents, List.of());
    }

    /**
     * Guards against an error for a request whose stalled attempt was given up for another one: it
     * is past its latency goal, so a scheduler without capacity at that moment would refuse it.
     */
    @Test
    public void aRequestThatMayHaveRunWaitsBeyondItsGoal() {
        mExchange.countSend();
        mNowMs += 2 * GOAL_MS;
        mClient.submit(mExchange);
        run(400);

        assertEquals(requestsTo(lastAsked()).get(0).waitLimitMs(), 999);
        assertEquals(mEvents, List.of());
    }

    /** Guards against waiting requests that a frozen scheduler holds for its 3 s. */
    @Test
    public void aSilentSchedulerIsReplaced() {
        mClient.submit(mExchange);
        run(5);
        Member silent = lastAsked();
        long number = lastNumber();
        run(700);

        assertFalse(lastAsked().equals(silent));
        assertEquals(lastNumber(), number);
        assertTrue(requestsTo(lastAsked()).get(0).ageMs() >= 600);
        assertEquals(cancelledAt(silent), List.of(number));
        assertTrue(
                firstMessageTo(lastAsked()) instanceof PeerMessage.StartReport report
                        && report.full());
    }

    private PeerMessage firstMessageTo(Member member) {
        return mSent.stream()
                .filter(sent -> sent.to().equals(member.id()))
                .findFirst()
                .orElseThrow()
                .message();
    }

    /** Guards against requests that run twice, as two schedulers decide on them. */
    @Test
    public void lateDecisionsOfAReplacedSchedulerAreRejected() {
        mClient.submit(mExchange);
        run(5);
        Member former = lastAsked();
        long number = lastNumber();
        run(700);
        decide(lastAsked(), start(number, ENDPOINT));
        mSent.clear();
        decide(former, start(number, SPARE_ENDPOINT));

        assertEquals(mEvents, List.of("start e-1"));
        assertEquals(cancelledAt(former), List.of(number));
    }

    /** Guards against two schedulers that both fill the engines long after a freeze. */
    @Test
    public void aPreferredSchedulerThatAnswersIsAskedAgain() {
        mClient.submit(mExchange);
        run(5);
        Member preferred = lastAsked();
        run(700);
        Member second = lastAsked();
        decide(preferred);

        assertFalse(second.equals(preferred));
        assertEquals(lastAsked(), preferred);
        assertEquals(cancelledAt(second), List.of(lastNumber()));
    }

    /** Lists the ways in which a scheduler is lost at once. */
    @DataProvider
    public Object[][] losses() {
        return new Object[][] {{true}, {false}};
    }

    /** Guards against waiting for the silence of a scheduler that is known to be lost. */
    @Test(dataProvider = "losses")
    public void aLostSchedulerIsReplacedAtOnce(boolean byMembership) {
        mClient.submit(mExchange);
        run(5);
        Member lost = lastAsked();
        if (byMembership) {
            setMembers(mMembers.stream().filter(member -> !member.equals(lost)).toList());
            mClient.tick();
        } else {
            mClient.connectionLost(lost.id());
        }

        assertFalse(lastAsked().equals(lost));
    }

    /** Lists whether there are other instances that do not answer. */
    @DataProvider
    public Object[][] candidates() {
        return new Object[][] {{3}, {1}, {0}};
    }

    /** Guards against an outage of a service whose schedulers do not answer. */
    @Test(dataProvider = "candidates")
    public void withoutAnAnswerRequestsAreRoutedHere(int candidates) {
        setMembers(mMembers.subList(0, candidates));
        boolean waited = mClient.submit(mExchange);
        run(1_300);

        assertEquals(waited, candidates > 0);
        assertEquals(mEvents.size(), candidates > 0 ? 1 : 0);
        assertFalse(mExchange.queued());
        assertFalse(mClient.submit(exchange()));
        run(2_000);
        assertEquals(mClient.submit(exchange()), candidates > 0);
    }

    /** Guards against a pause of this instance that counts as silence of the scheduler. */
    @Test
    public void anOwnPauseIsNoSilence() {
        mClient.tick();
        mClient.submit(mExchange);
        run(100);
        Member asked = lastAsked();
        mNowMs += 3_000;
        mClient.tick();

        assertEquals(mEvents, List.of());
        assertEquals(lastAsked(), asked);
    }

    /** Guards against the start of a request whose caller has left. */
    @Test
    public void anEndedExchangeIsWithdrawn() {
        mClient.submit(mExchange);
        run(5);
        long number = lastNumber();
        mExchange.markEnded();
        assertTrue(mClient.remove(mExchange));
        decide(lastAsked(), start(number, ENDPOINT));
        run(20);

        assertEquals(mEvents, List.of());
        assertEquals(mClient.waiting(), 0);
        assertTrue(cancelledAt(lastAsked()).contains(number));
    }

    /** Guards against callers that wait beyond their limit if the scheduler does not decide. */
    @Test
    public void aRequestPastItsLatestStartIsRefused() {
        mClient.submit(mExchange);
        for (int i = 0; i < GOAL_MS / 200 + 2; i++) {
            run(200);
            decide(lastAsked());
        }

        assertEquals(mEvents, List.of("refused overloaded"));
    }

    /** Lists decisions with missing or impossible fields. */
    @DataProvider
    public Object[][] malformedDecisions() {
        return new Object[][] {
            {null, null, null, 0},
            {StartRecords.Kind.START, null, null, 0},
            {StartRecords.Kind.FORWARD, null, null, 0},
            {StartRecords.Kind.REFUSE, null, null, 500},
            {StartRecords.Kind.REFUSE, null, "NO_ROOM_IN_TIME", -1},
        };
    }

    /** Guards against an exception, or a lost request, after a malformed message. */
    @Test(dataProvider = "malformedDecisions")
    public void aMalformedDecisionIsIgnored(
            StartRecords.Kind kind, EndpointId endpoint, String reason, long retryAfterMs) {
        mClient.submit(mExchange);
        run(5);
        decide(
                lastAsked(),
                new StartRecords.Decision(
                        lastNumber(), kind, endpoint, null, retryAfterMs, reason, 0, 0, 0));

        assertTrue(mExchange.queued());
        decide(lastAsked(), start(lastNumber(), ENDPOINT));
        assertEquals(mEvents, List.of("start e-1"));
    }

    /** Guards against an exception in one request that stops the decisions on the others. */
    @Test
    public void anExceptionEndsOnlyItsRequest() {
        GatewayExchange failing = exchange();
        mClient.submit(failing);
        mClient.submit(mExchange);
        run(5);
        long number = lastNumber();
        failing.markEnded();
        decide(lastAsked(), start(number - 1, ENDPOINT), start(number, ENDPOINT));

        assertEquals(mEvents, List.of("failed", "start e-1"));
    }

    /** Guards against a scheduler that starts a request which may run in no region any more. */
    @Test
    public void aRequestThatMayRunNowhereIsSentToAScheduler() {
        GatewayExchange other = exchange();
        mClient.submit(mExchange);
        mClient.submit(other);
        mExchange.triedRegions().addAll(List.of(REGION, OTHER_REGION));
        run(5);

        assertEquals(requestsTo(lastAsked()).size(), 1);
        assertEquals(mEvents, List.of("routed"));
        assertFalse(mExchange.queued());
        assertFalse(mClient.submit(mExchange));
        assertTrue(other.queued());
    }

    private record Sent(InstanceId to, PeerMessage message) {}

    private record Timer(long atMs, Runnable action) {}

    /** Records the messages instead of sending them. */
    private final class RecordingNetwork implements StartNetwork {

        @Override
        public void send(Member to, PeerMessage message) {
            mSent.add(new Sent(to.id(), message));
        }

        @Override
        public void disconnect(Member to) {}
    }

    /** Records what is done with requests; a started one ends at once after seven events. */
    private final class Starts implements RequestDispatcher.Starter {

        @Override
        public void startLocal(GatewayExchange exchange, EndpointState endpoint) {
            if (exchange.ended()) {
                throw new IllegalStateException("The exchange has ended.");
            }
            if (mRefusesStarts) {
                return;
            }
            mEvents.add("start " + endpoint.id());
            mClient.claim(exchange, endpoint.id()).ended(7);
        }

        @Override
        public void startRemote(
                GatewayExchange exchange, RegionId region, Optional<EndpointState> expected) {
            mEvents.add("forward " + region);
        }

        @Override
        public void giveUp(GatewayExchange exchange, GatewayRefusal refusal) {
            mEvents.add("refused " + refusal.code());
        }

        @Override
        public void fail(GatewayExchange exchange, Throwable exception) {
            mEvents.add("failed");
        }
    }
}
