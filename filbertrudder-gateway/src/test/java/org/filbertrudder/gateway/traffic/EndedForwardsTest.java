package org.filbertrudder.gateway.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.filbertrudder.gateway.config.Backend;
import org.filbertrudder.gateway.config.CallerLimits;
import org.filbertrudder.gateway.config.GatewayConfiguration;
import org.filbertrudder.gateway.config.RequestKind;
import org.filbertrudder.gateway.config.RouteRule;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.gateway.control.GatewaySnapshot;
import org.filbertrudder.model.AllowedRegions;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.peer.PeerConnection;
import org.filbertrudder.peer.PeerHandler;
import org.filbertrudder.peer.PeerNetwork;
import org.filbertrudder.peer.PeerSecurity;
import org.filbertrudder.peer.forwarding.HeldBytes;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what the sender of a forwarded request learns when the other instance ends. */
public class EndedForwardsTest {

    private static final long TIMEOUT_SECONDS = 10;
    private static final long TICK_MS = 100;
    private static final int MAX_HELD_BYTES = 1_000;

    private final AtomicReference<PeerConnection> mIncoming = new AtomicReference<>();
    private CompletableFuture<GatewayResponseSink> mWaiting;
    private HeldBytes mBodies;
    private Vertx mVertx;
    private Context mContext;
    private GatewayForwardServer mServer;
    private GatewayForwardClient mClient;
    private PeerNetwork mClientNetwork;
    private PeerNetwork mServerNetwork;
    private Member mServerMember;

    @BeforeMethod
    public void connect() throws Exception {
        mVertx = Vertx.vertx();
        mContext = mVertx.getOrCreateContext();
        mIncoming.set(null);
        mBodies = new HeldBytes(MAX_HELD_BYTES);
        mWaiting = new CompletableFuture<>();
        mServer = server();
        mServerNetwork = network("server", (connection, message) -> receive(connection, message));
        int port = mServerNetwork.listen("127.0.0.1", 0).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        mServerMember = member("server", port);
        mClientNetwork =
                network("client", (connection, message) -> mClient.handle(connection, message));
        mClient = new GatewayForwardClient(mClientNetwork::withConnection);
        mVertx.setPeriodic(TICK_MS, timer -> mContext.runOnContext(ignored -> tick()));
        assertEquals(outcomeOf("/refused"), "head 503, end");
    }

    private void tick() {
        mClient.tick(Clocks.steadyMs());
        mServer.tick(Clocks.steadyMs());
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private GatewayForwardServer server() {
        return new GatewayForwardServer(
                (start, headers, sink) -> {
                    if (start.uri().startsWith("/waits")) {
                        mWaiting.complete(sink);
                        return Optional.of(exchange(start.uri(), sink));
                    }
                    sink.refuse(GatewayRefusal.stopping());
                    return Optional.empty();
                },
                exchange -> {},
                mBodies);
    }

    private void receive(PeerConnection connection, PeerMessage message) {
        mIncoming.set(connection);
        mServer.handle(connection, message);
    }

    private PeerNetwork network(String id, PeerHandler handler) {
        return new PeerNetwork(
                mVertx,
                mContext,
                PeerSecurity.plainText(),
                () -> member(id, 1),
                handler,
                error -> {});
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

    private static GatewayExchange exchange(String uri, GatewayResponseSink sink) {
        RouteRule route =
                new RouteRule(
                        "r",
                        "h",
                        "/",
                        RequestKind.STREAM,
                        60_000,
                        1_000,
                        400,
                        1,
                        List.of(new Backend(ServiceId.of("s"), 1)),
                        2,
                        false,
                        true,
                        AllowedRegions.any());
        RequestHead head =
                new RequestHead(
                        "a1",
                        "h",
                        Optional.empty(),
                        OptionalLong.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        0,
                        Map.of());
        return new GatewayExchange(
                head,
                "POST",
                uri,
                Buffer.buffer(new byte[uri.equals("/waits/long") ? MAX_HELD_BYTES : 1]),
                route,
                Optional.empty(),
                ServiceId.of("s"),
                false,
                sink,
                Clocks.steadyMs());
    }

    private Outcome forward(String uri) {
        return forward(mServerMember, uri);
    }

    private Outcome forward(Member member, String uri) {
        GatewaySnapshot snapshot =
                new GatewaySnapshot(
                        new GatewayConfiguration(
                                1,
                                List.of(),
                                List.of(),
                                List.of(),
                                Map.of(),
                                new CallerLimits(1, 1, 1, 1)),
                        List.of(),
                        member("client", 1),
                        List.of());
        Outcome outcome = new Outcome();
        mClient.start(member, exchange(uri, null), snapshot, 10_000, outcome);
        return outcome;
    }

    private String outcomeOf(String uri) throws Exception {
        return outcomeAfter(() -> {}, uri);
    }

    /** Runs the action and forwards a request before anything else happens on the event loop. */
    private String outcomeAfter(Runnable action, String uri) throws Exception {
        CompletableFuture<String> result = new CompletableFuture<>();
        mContext.runOnContext(
                ignored -> {
                    action.run();
                    forward(uri).mResult.thenAccept(result::complete);
                });
        return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    public void forwardSentAsTheOutputEndsIsTakenForInterrupted() throws Exception {
        assertEquals(outcomeAfter(mServer::endConnections, "/refused"), "NOT_SENT");
    }

    @Test
    public void forwardStartedBetweenTheEndAndTheCloseIsTakenForInterrupted() throws Exception {
        CompletableFuture<String> second = new CompletableFuture<>();
        CompletableFuture<String> first = new CompletableFuture<>();
        mContext.runOnContext(
                ignored -> {
                    mServer.endConnections();
                    forward("/refused")
                            .mResult
                            .thenAccept(
                                    result -> {
                                        first.complete(result);
                                        forward("/refused").mResult.thenAccept(second::complete);
                                    });
                });

        assertEquals(first.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), "NOT_SENT");
        assertEquals(second.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), "NOT_SENT");
    }

    /** The other instance lives and knows that the request has not come. */
    @Test
    public void forwardThatHasNotArrivedIsTakenForInterrupted() throws Exception {
        assertEquals(outcomeAfter(() -> mIncoming.get().close(), "/waits"), "NOT_SENT");
        assertFalse(mWaiting.isDone(), "the request has not run");
    }

    /** Guards against answers that are lost with their connection while both instances live. */
    @Test
    public void forwardThatRunsIsEndedWhenItsConnectionCloses() throws Exception {
        Outcome outcome = forwardAndAwaitArrival();

        mContext.runOnContext(
                ignored -> {
                    mIncoming.get().close();
                    mWaiting.join().sendHead(200, Map.of());
                    mWaiting.join().end();
                });

        assertEquals(outcome.mResult.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), "head 200, end");
    }

    @Test
    public void forwardThatMayRunIsTakenForNotRunWhenItsProcessIsAnotherOne() throws Exception {
        Outcome outcome = forwardAndAwaitArrival();

        mContext.runOnContext(
                ignored -> {
                    mServer = server();
                    mIncoming.get().close();
                });

        assertEquals(outcome.mResult.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), "INTERRUPTED");
    }

    @Test
    public void newConnectionIsNotRefused() throws Exception {
        outcomeAfter(mServer::endConnections, "/refused");
        CompletableFuture<Void> closed = new CompletableFuture<>();
        mContext.runOnContext(ignored -> mIncoming.get().onClose(() -> closed.complete(null)));
        closed.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);

        assertEquals(outcomeOf("/refused"), "head 503, end");
    }

    /** Lists the states in which a member counts as unresponsive. */
    @DataProvider
    public Object[][] unresponsiveStates() {
        return new Object[][] {{MemberState.SUSPECT}, {MemberState.DEAD}};
    }

    private Outcome forwardAndAwaitArrival() throws Exception {
        CompletableFuture<Outcome> outcome = new CompletableFuture<>();
        mContext.runOnContext(ignored -> outcome.complete(forward("/waits")));
        mWaiting.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        return outcome.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Guards against streams that are cut by a suspicion while their connection delivers them. */
    @Test(dataProvider = "unresponsiveStates")
    public void forwardIsEndedBySuspicionAlthoughItsConnectionWorks(MemberState state)
            throws Exception {
        Outcome outcome = forwardAndAwaitArrival();

        mContext.runOnContext(
                ignored -> {
                    mClient.membersChanged(List.of(mServerMember.withState(state)));
                    mWaiting.join().sendHead(200, Map.of());
                    mWaiting.join().end();
                });

        assertEquals(outcome.mResult.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), "head 200, end");
    }

    /** A member that is gone accepts no further connection. */
    @Test(dataProvider = "unresponsiveStates")
    public void forwardToAMemberThatIsGoneIsNotEnded(MemberState state) throws Exception {
        Outcome outcome = forwardAndAwaitArrival();

        mContext.runOnContext(
                ignored -> {
                    mServerNetwork.close();
                    mClient.membersChanged(List.of(mServerMember.withState(state)));
                });

        assertEquals(outcome.mResult.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), "INTERRUPTED");
    }

    @Test(dataProvider = "unresponsiveStates")
    public void forwardWaitsForAConnectionToAMemberThatIsGone(MemberState state) throws Exception {
        Member gone = member("gone", 1);
        CompletableFuture<String> result = new CompletableFuture<>();

        mContext.runOnContext(
                ignored -> {
                    Outcome outcome = forward(gone, "/waits");
                    mClient.membersChanged(List.of(gone.withState(state)));
                    result.complete(outcome.mResult.getNow("none yet"));
                });

        assertEquals(result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), "NOT_SENT");
    }

    /** Guards against an instance that runs out of memory by the bodies of many requests. */
    @Test
    public void bodiesOfForwardsAreHeldWithoutABound() throws Exception {
        forwardAndAwaitArrival();

        assertEquals(outcomeOf("/waits/long"), "head 503, end");
        mWaiting.join().end();
        CompletableFuture<Long> held = new CompletableFuture<>();
        mContext.runOnContext(ignored -> held.complete(mBodies.heldBytes()));
        assertEquals(held.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), 0L, "bytes are released");
    }

    /** Completes with a description of how an attempt has ended. */
    private static final class Outcome implements AttemptListener {

        private final CompletableFuture<String> mResult = new CompletableFuture<>();
        private String mText = "";

        @Override
        public void head(ResponseHead head) {
            mText = "head " + head.status() + ", ";
        }

        @Override
        public void data(Buffer data) {}

        @Override
        public void end() {
            mResult.complete(mText + "end");
        }

        @Override
        public void failed(Failure failure) {
            mResult.complete(mText + failure);
        }
    }
}
