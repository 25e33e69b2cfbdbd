package org.filbertrudder.entry.traffic;

import io.vertx.core.AbstractVerticle;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpServer;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.filbertrudder.entry.EntrySettings;
import org.filbertrudder.entry.control.Snapshot;
import org.filbertrudder.entry.control.TokensRefusedException;
import org.filbertrudder.entry.log.Field;
import org.filbertrudder.entry.log.PartLog;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.EntityKind;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.peer.PeerConnection;
import org.filbertrudder.peer.PeerNetwork;
import org.filbertrudder.policy.retry.UnprovenRequests;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.routing.EndpointTable;
import org.filbertrudder.policy.routing.Router;

/** Serves callers and forwarded requests on one thread. */
public final class TrafficLoop extends AbstractVerticle {

    private static final PartLog LOG = PartLog.of("traffic");
    private static final long TICK_MS = 20;
    private static final int MAX_CONNECTIONS_PER_ENDPOINT = 10_000;
    private static final int MAX_REMEMBERED_REQUESTS = 10_000;

    private final TrafficContext mTraffic;
    private final EntrySettings mSettings;
    private final ListenPorts mPorts;
    private final EndpointTable mTable = new EndpointTable();
    private final Set<Exchange> mActive = new LinkedHashSet<>();
    private Snapshot mSeen;
    private HttpServer mServer;
    private PeerNetwork mNetwork;
    private Finisher mFinisher;
    private Dispatcher mDispatcher;
    private Attempts mAttempts;
    private BookingClaims mClaims;
    private LoadPoller mPoller;
    private CacheEventPoller mCacheEvents;

    /** Creates a loop; ports that are 0 are replaced by the ones chosen when it is deployed. */
    public TrafficLoop(TrafficContext traffic, EntrySettings settings, ListenPorts ports) {
        mTraffic = traffic;
        mSettings = settings;
        mPorts = ports;
    }

    @Override
    public void start(Promise<Void> started) {
        HttpClient client =
                vertx.createHttpClient(
                        new HttpClientOptions()
                                .setMaxPoolSize(MAX_CONNECTIONS_PER_ENDPOINT)
                                .setTcpNoDelay(true)
                                .setKeepAlive(true));
        mFinisher = new Finisher(mTraffic.control()::tokens, mTraffic.metrics());
        LinkReach reach = new LinkReach(mTraffic, mSettings.trafficThreads());
        ForwardClient forwards = new ForwardClient(context, mTraffic, reach);
        mCacheEvents = new CacheEventPoller(mTraffic, client, mTable);
        UnprovenRequests unproven = new UnprovenRequests(MAX_REMEMBERED_REQUESTS);
        mAttempts = new Attempts(mTraffic, client, forwards, mFinisher, unproven, mCacheEvents);
        Router router = new Router(mSettings.region(), mTable, reach, this::ownsForLoneRequests);
        mDispatcher = new Dispatcher(mTraffic, router, mFinisher, unproven, mAttempts);
        mAttempts.setDispatcher(mDispatcher);
        mClaims = new BookingClaims(context, mTraffic, mFinisher);
        mPoller = new LoadPoller(mTraffic, client, mTable, this::updateLeaving);
        RequestFactory factory = new RequestFactory(mTraffic);
        ForwardServer forwardServer =
                new ForwardServer(mTraffic, factory, this::serveForwarded, this::cancel);
        mNetwork = network(forwards, forwardServer);
        forwards.setNetwork(mNetwork);
        CallerApi api = new CallerApi(mTraffic, mSettings, factory, this::serve, this::cancel);
        mTraffic.control().onChange(() -> context.runOnContext(ignored -> snapshotChanged()));
        vertx.setPeriodic(TICK_MS, timer -> tick());
        listen(api, started);
    }

    /** Divides the endpoints of a service in this region among the instances of the region. */
    private boolean ownsForLoneRequests(EndpointState state) {
        List<Member> members = mTraffic.snapshot().workingIn(mSettings.region());
        List<EndpointState> endpoints = mTable.of(state.endpoint().service(), mSettings.region());
        if (members.isEmpty() || endpoints.size() < members.size()) {
            return true;
        }
        Member owner = members.get(endpoints.indexOf(state) % members.size());
        return owner.id().equals(mSettings.id());
    }

    private PeerNetwork network(ForwardClient forwards, ForwardServer server) {
        return new PeerNetwork(
                vertx,
                context,
                mSettings.peerSecurity(),
                () -> mTraffic.snapshot().self(),
                (connection, message) -> receive(forwards, server, connection, message),
                violation -> LOG.warn("A peer was rejected.", Field.of("why", violation)));
    }

    private void receive(
            ForwardClient forwards,
            ForwardServer server,
            PeerConnection connection,
            PeerMessage message) {
        if (mTraffic.snapshot() != null && !forwards.handle(connection, message)) {
            server.handle(connection, message);
        }
    }

    private void listen(CallerApi api, Promise<Void> started) {
        mServer = vertx.createHttpServer(api.serverOptions());
        mServer.requestHandler(api.router(vertx));
        mServer.invalidRequestHandler(api::refuseInvalid);
        mServer.listen(mPorts.callerPort(), mSettings.host())
                .compose(
                        server -> {
                            mPorts.setCallerPort(server.actualPort());
                            return Future.fromCompletionStage(
                                    mNetwork.listen(mSettings.host(), mPorts.forwardPort()),
                                    context);
                        })
                .onSuccess(mPorts::setForwardPort)
                .<Void>mapEmpty()
                .onComplete(started);
    }

    /** Serves a caller's request: claims its key, reserves its tokens, then dispatches it. */
    private void serve(Exchange exchange, String idempotencyKey) {
        begin(exchange);
        if (idempotencyKey != null && !exchange.incoming().repeatable()) {
            mClaims.claim(exchange, idempotencyKey, mDispatcher::submit);
        } else if (exchange.incoming().isModel()) {
            mAttempts.checkVerdict(exchange, () -> reserve(exchange));
        } else {
            mDispatcher.submit(exchange);
        }
    }

    private void serveForwarded(Exchange exchange) {
        begin(exchange);
        if (exchange.incoming().isModel()) {
            mAttempts.checkVerdict(exchange, () -> mDispatcher.submit(exchange));
        } else {
            mDispatcher.submit(exchange);
        }
    }

    private void begin(Exchange exchange) {
        mTraffic.metrics().received();
        mActive.add(exchange);
        long leftMs = Math.max(1, exchange.incoming().deadlineMs() - mTraffic.nowMs());
        long timer = vertx.setTimer(leftMs, ignored -> timeOut(exchange));
        exchange.onEnd(
                () -> {
                    vertx.cancelTimer(timer);
                    mActive.remove(exchange);
                    mDispatcher.remove(exchange);
                    mTraffic.metrics().ended();
                });
    }

    private void timeOut(Exchange exchange) {
        mFinisher.refuse(exchange, Refusal.timedOut(!exchange.maybeRan()));
    }

    private void reserve(Exchange exchange) {
        Exchange.Incoming incoming = exchange.incoming();
        long waitMs = mTraffic.snapshot().configuration().rules().maxQueueWaitMs();
        mTraffic.control()
                .tokens()
                .reserve(incoming.account(), incoming.maxTokens(), waitMs)
                .whenComplete(
                        (grant, failure) ->
                                context.runOnContext(
                                        ignored -> {
                                            if (failure == null) {
                                                exchange.setGrant(grant);
                                                submitGranted(exchange);
                                            } else {
                                                mFinisher.refuse(exchange, refusal(failure));
                                            }
                                        }));
    }

    private void submitGranted(Exchange exchange) {
        if (exchange.ended()) {
            mTraffic.control().tokens().settle(exchange.grant(), exchange.grant().tokens());
        } else {
            // The request may have been convicted while it waited for its tokens.
            mAttempts.checkVerdict(exchange, () -> mDispatcher.submit(exchange));
        }
    }

    private static Refusal refusal(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof TokensRefusedException refused) {
            return switch (refused.kind()) {
                case RATE_EXCEEDED -> Refusal.rateExceeded(refused.retryAfterMs());
                case TOO_LARGE -> Refusal.tooLarge();
                default ->
                        Refusal.unavailable("No instance can count the tokens. Come back later.");
            };
        }
        return Refusal.unavailable("The tokens could not be reserved. Come back later.");
    }

    private void cancel(Exchange exchange) {
        mFinisher.cancel(exchange);
    }

    private void tick() {
        if (mTraffic.snapshot() == null) {
            return;
        }
        if (mSeen == null) {
            snapshotChanged();
        }
        mDispatcher.tick();
        mPoller.tick(mTraffic.nowMs());
        mCacheEvents.tick(mTraffic.nowMs());
    }

    private void snapshotChanged() {
        Snapshot now = mTraffic.snapshot();
        Snapshot before = mSeen;
        mSeen = now;
        long seenRevision = before == null ? -1 : before.configuration().revision();
        if (now.configuration().lastChangeOf(EntityKind.ENDPOINT) > seenRevision) {
            mTable.setEndpoints(now.configuration().all(Endpoint.class), mTraffic.nowMs());
        }
        if (now.configuration().lastChangeOf(EntityKind.KEY) > seenRevision) {
            endWithdrawn(now);
        }
        updateLeaving();
    }

    /** Ends the running requests of keys that have been withdrawn. */
    private void endWithdrawn(Snapshot snapshot) {
        for (Exchange exchange : List.copyOf(mActive)) {
            boolean withdrawn =
                    exchange.incoming().key() != null
                            && snapshot.configuration().apiKey(exchange.incoming().key()).isEmpty();
            if (withdrawn) {
                mFinisher.refuse(exchange, Refusal.keyWithdrawn(!exchange.maybeRan()));
            }
        }
    }

    private void updateLeaving() {
        Set<EndpointId> leaving = new HashSet<>(mSeen.leavingEndpoints());
        leaving.addAll(mPoller.leaving());
        mTable.setLeaving(leaving);
    }

    /**
     * Stops to serve callers at a moment when nothing runs, or at the given time.
     *
     * <p>The check and the end of listening happen in one step of the event loop, so no request can
     * begin in between.
     */
    public CompletableFuture<Void> closeWhenIdle(long untilMs) {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        vertx.setPeriodic(
                TICK_MS,
                timer ->
                        context.runOnContext(
                                ignored -> {
                                    boolean late = mTraffic.nowMs() >= untilMs;
                                    if (mActive.isEmpty() || late) {
                                        vertx.cancelTimer(timer);
                                        mServer.close().onComplete(done -> closed.complete(null));
                                    }
                                }));
        return closed;
    }

    @Override
    public void stop(Promise<Void> stopped) {
        mServer.close()
                .compose(done -> Future.fromCompletionStage(mNetwork.close(), context))
                .onComplete(stopped);
    }
}
