package org.filbertrudder.entry.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.filbertrudder.entry.control.ControlSnapshot;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.Service;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.ServiceKind;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.peer.PeerConnection;
import org.filbertrudder.peer.PeerNetwork;
import org.filbertrudder.peer.PeerSecurity;
import org.filbertrudder.peer.forwarding.ForwardLinks;
import org.filbertrudder.policy.membership.PeerAddress;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what becomes of a forwarded request when its connection fails while both instances run. */
public class ForwardedRequestTest {

    private static final long TIMEOUT_SECONDS = 10;
    private static final long TICK_INTERVAL_MS = 20;
    private static final Service SERVICE =
            Service.of(ServiceId.of("bookings"), ServiceKind.PLAIN, List.of(), List.of(), false);

    private final Set<PeerConnection> mSilent = new HashSet<>();
    private final List<PeerConnection> mIncoming = new ArrayList<>();
    private CompletableFuture<Exchange> mArrived;
    private boolean mResumable;
    private long mRevision;
    private Vertx mVertx;
    private Context mContext;
    private PeerNetwork mServerNetwork;
    private PeerNetwork mClientNetwork;
    private ForwardServer mServer;
    private ForwardClient mClient;
    private Member mServerMember;

    @BeforeMethod
    public void createContext() {
        mVertx = Vertx.vertx();
        mContext = mVertx.getOrCreateContext();
        mRevision = 1;
        mSilent.clear();
        mIncoming.clear();
        mArrived = new CompletableFuture<>();
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private void connect(boolean clientResumes, boolean serverResumes) throws Exception {
        mResumable = clientResumes && serverResumes;
        mServerNetwork = network("server", serverResumes);
        int port = mServerNetwork.listen("127.0.0.1", 0).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        mServerMember = member("server", port);
        mClientNetwork = network("client", clientResumes);
        call(this::createForwards);
    }

    private Void createForwards() {
        TrafficContext context = context();
        mServer =
                new ForwardServer(
                        context,
                        new RequestFactory(context),
                        exchange -> mArrived.complete(exchange),
                        Exchange::markEnded,
                        exchange -> {});
        mClient = client(mClientNetwork::withConnection);
        mVertx.setPeriodic(
                TICK_INTERVAL_MS,
                timer -> {
                    mClient.tick();
                    mServer.tick();
                });
        return null;
    }

    private TrafficContext context() {
        return new TrafficContext(
                mVertx,
                null,
                this::snapshot,
                null,
                null,
                () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
    }

    private ForwardClient client(ForwardLinks links) {
        TrafficContext context = context();
        return new ForwardClient(mContext, context, new LinkAvailability(context, 1), links);
    }

    private PeerNetwork network(String id, boolean resumes) {
        PeerNetwork network =
                new PeerNetwork(
                        mVertx,
                        mContext,
                        PeerSecurity.plainText(),
                        () -> member(id, 1),
                        this::receive,
                        error -> {});
        if (!resumes) {
            network.disableResumption();
        }
        return network;
    }

    private void receive(PeerConnection connection, PeerMessage message) {
        if (!mSilent.contains(connection) && !mClient.handle(connection, message)) {
            mIncoming.add(connection);
            mServer.handle(connection, message);
        }
    }

    private ControlSnapshot snapshot() {
        return new ControlSnapshot(
                Configuration.of(mRevision, "", List.of(SERVICE)),
                member("client", 1),
                List.of(),
                Set.of(),
                Map.of());
    }

    private static Member member(String id, int forwardPort) {
        return new Member(
                InstanceId.of(id),
                1,
                RegionId.of("mtl"),
                FailureDomainId.of("mtl-a"),
                "127.0.0.1",
                1,
                forwardPort,
                1,
                MemberState.LIVE);
    }

    private static Exchange exchange() {
        Exchange.Request request =
                new Exchange.Request(
                        "r1",
                        AccountId.of("open"),
                        null,
                        SERVICE,
                        "POST",
                        "/bookings",
                        Map.of(),
                        Buffer.buffer("body"),
                        false,
                        0,
                        0,
                        "",
                        false,
                        false,
                        Long.MAX_VALUE / 2);
        return new Exchange(request, null, 0);
    }

    /** Runs the action on the event loop and returns its result. */
    private <T> T call(Supplier<T> action) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        mContext.runOnContext(ignored -> result.complete(action.get()));
        return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private Outcome forward() throws Exception {
        return call(
                () -> {
                    Outcome outcome = new Outcome();
                    mClient.start(mServerMember, exchange(), Map.of(), outcome);
                    return outcome;
                });
    }

    private Exchange arrived() throws Exception {
        return mArrived.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static String textOf(Outcome outcome) throws Exception {
        return outcome.mResult.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Defines how a connection fails. */
    private enum Fault {
        CLOSED,
        SILENT
    }

    private void fail(Fault fault) {
        if (fault == Fault.CLOSED) {
            mIncoming.get(0).close();
        } else {
            mSilent.addAll(mIncoming);
            mClientNetwork.withConnection(PeerAddress.ofForwards(mServerMember), mSilent::add);
        }
    }

    /** Lists the faults of a connection, before and after the head of the response. */
    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {Fault.CLOSED, false}, {Fault.CLOSED, true}, {Fault.SILENT, false}, {Fault.SILENT, true}
        };
    }

    /** Guards against answers that are lost with their connection while both instances run. */
    @Test(dataProvider = "faults")
    public void forwardedRequestEndsWithItsConnection(Fault fault, boolean headSent)
            throws Exception {
        connect(true, true);
        Outcome outcome = forward();
        ResponseSink sink = arrived().sink();

        call(
                () -> {
                    if (headSent) {
                        sink.sendHead(201, Map.of());
                        sink.write(Buffer.buffer("first "));
                    }
                    fail(fault);
                    if (!headSent) {
                        sink.sendHead(201, Map.of());
                        sink.write(Buffer.buffer("first "));
                    }
                    sink.write(Buffer.buffer("second"));
                    sink.end();
                    return null;
                });

        assertEquals(textOf(outcome), "201 first second, end");
        assertFalse(arrived().ended(), "the request was cancelled");
    }

    /** Lists which of the two instances resume forwarded requests. */
    @DataProvider
    public Object[][] releases() {
        return new Object[][] {{true, true}, {true, false}, {false, true}, {false, false}};
    }

    @Test(dataProvider = "releases")
    public void responseFromAnInstanceThatResumesNoForwardsIsIncomplete(
            boolean clientResumes, boolean serverResumes) throws Exception {
        connect(clientResumes, serverResumes);
        Outcome outcome = forward();
        ResponseSink sink = arrived().sink();

        call(
                () -> {
                    sink.sendHead(200, Map.of());
                    sink.write(Buffer.buffer("body"));
                    sink.end();
                    return null;
                });

        assertEquals(textOf(outcome), "200 body, end");
    }

    @Test(dataProvider = "releases")
    public void closedConnectionLeavesARequestOpen(boolean clientResumes, boolean serverResumes)
            throws Exception {
        connect(clientResumes, serverResumes);
        Outcome outcome = forward();
        Exchange exchange = arrived();

        call(
                () -> {
                    mIncoming.get(0).close();
                    return null;
                });

        if (mResumable) {
            call(
                    () -> {
                        exchange.sink().sendHead(200, Map.of());
                        exchange.sink().end();
                        return null;
                    });
            assertEquals(textOf(outcome), "200 , end");
        } else {
            assertEquals(textOf(outcome), "BROKEN");
            assertTrue(call(exchange::ended), "the request runs on although nobody waits for it");
        }
    }

    /** An instance that stops ends its connections once its responses are delivered. */
    @Test(dataProvider = "releases")
    public void responseIsLostWhenItsInstanceEndsTheConnections(
            boolean clientResumes, boolean serverResumes) throws Exception {
        connect(clientResumes, serverResumes);
        Outcome outcome = forward();
        ResponseSink sink = arrived().sink();

        CompletableFuture<Void> ended =
                call(
                        () -> {
                            sink.sendHead(200, Map.of());
                            sink.write(Buffer.buffer("body"));
                            sink.end();
                            return mServer.endConnections();
                        });

        ended.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertEquals(textOf(outcome), "200 body, end");
        assertFalse(call(mServer::hasUndelivered), "the response counts as undelivered");
    }

    /** Guards against a request without an end, for which the stop of its instance would wait. */
    @Test
    public void requestCancelledWhileItWaitsForTheConfigurationIsServed() throws Exception {
        connect(true, true);
        UpstreamCall forwarded =
                call(
                        () -> {
                            mRevision = 2;
                            UpstreamCall started =
                                    mClient.start(
                                            mServerMember, exchange(), Map.of(), new Outcome());
                            mRevision = 1;
                            return started;
                        });
        awaitWaitingRequest(true);
        call(
                () -> {
                    forwarded.cancel();
                    return null;
                });
        Outcome next = forward();
        arrived().sink().end();
        textOf(next);
        mArrived = new CompletableFuture<>();
        mRevision = 2;
        awaitWaitingRequest(false);

        assertFalse(mArrived.isDone(), "a cancelled request is served");
    }

    private void awaitWaitingRequest(boolean waiting) throws Exception {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (call(mServer::hasWaitingRequests) != waiting) {
            assertTrue(System.nanoTime() < deadlineNs, "waiting: " + !waiting);
        }
    }

    /** Guards against a failed attempt that replaces the next one, which its failure starts. */
    @Test
    public void failureIsReportedBeforeTheCallIsReturned() throws Exception {
        connect(true, true);
        Outcome outcome = new Outcome();
        boolean early =
                call(
                        () -> {
                            client((address, action) -> action.accept(null))
                                    .start(mServerMember, exchange(), Map.of(), outcome);
                            return outcome.mResult.isDone();
                        });

        assertFalse(early, "the failure was reported before the call was returned");
        assertEquals(textOf(outcome), "NOT_SENT");
    }

    /** Completes with a description of how an attempt has ended. */
    private static final class Outcome implements UpstreamListener {

        private final CompletableFuture<String> mResult = new CompletableFuture<>();
        private String mText = "";

        @Override
        public void onHead(int status, Map<String, String> headers) {
            mText += status + " ";
        }

        @Override
        public void onData(Buffer data) {
            mText += data;
        }

        @Override
        public void onEnd() {
            mResult.complete(mText + ", end");
        }

        @Override
        public void onFailure(Failure failure) {
            mResult.complete(mText + failure);
        }
    }
}
