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
import java.util.concurrent.TimeUnit;
import org.filbertrudder.entry.EntrySettings;
import org.filbertrudder.entry.control.ControlSnapshot;
import org.filbertrudder.entry.control.TokensRefusedException;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.EntityKind;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.peer.PeerConnection;
import org.filbertrudder.peer.PeerHandler;
import org.filbertrudder.peer.PeerNetwork;
import org.filbertrudder.policy.retry.RequestCopyTracker;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.routing.EndpointTable;
import org.filbertrudder.policy.routing.Router;

/** Serves requests of callers and of other instances on one event-loop thread. */
public final class TrafficVerticle extends AbstractVerticle {

    private static final ComponentLogger LOG = ComponentLogger.of("traffic");
    private static final long TICK_INTERVAL_MS = 20;

    /** How long requests on the last accepted connections are refused, in milliseconds. */
    private static final long LAST_REFUSALS_MS = 50;

    private static final int MAX_CONNECTIONS_PER_ENDPOINT = 10_000;
    private static final int MAX_TRACKED_REQUEST_OUTCOMES = 10_000;

    private final TrafficContext mTrafficContext;
    private final EntrySettings mSettings;
    private final ListenPorts mPorts;
    private final EndpointTable mEndpointTable = new EndpointTable();
    private final Set<Exchange> mActiveExchanges = new LinkedHashSet<>();
    private final CallerConnections mCallerConnections = new CallerConnections();
    private final ListeningSocket mListeningSocket = new ListeningSocket();
    private final RequestAdmission mAdmission;
    private ControlSnapshot mAppliedSnapshot;
    private CallerApi mCallerApi;
    private ForwardClient mForwardClient;
    private ForwardServer mForwardServer;
    private HttpServer mServer;
    private PeerNetwork mPeerNetwork;
    private ExchangeFinisher mFinisher;
    private Dispatcher mDispatcher;
    private AttemptRunner mAttemptRunner;
    private IdempotencyClaims mIdempotencyClaims;
    private LoadPoller mLoadPoller;
    private CacheEventPoller mCacheEventPoller;
    private long mDeliveryWaitStartMs;

    /** Creates a verticle; a port of 0 is replaced by the free port bound at deployment. */
    public TrafficVerticle(
            TrafficContext trafficContext, EntrySettings settings, ListenPorts ports) {
        mTrafficContext = trafficContext;
        mSettings = settings;
        mPorts = ports;
        mAdmission = new RequestAdmission(trafficContext.clockMs());
    }

    @Override
    public void start(Promise<Void> started) {
        HttpClient client =
                vertx.createHttpClient(
                        new HttpClientOptions()
                                .setMaxPoolSize(MAX_CONNECTIONS_PER_ENDPOINT)
                                .setTcpNoDelay(true)
                                .setKeepAlive(true));
        InterimResponseFilter.installIn(client);
        mFinisher =
                new ExchangeFinisher(
                        mTrafficContext.control()::tokenReservations, mTrafficContext.metrics());
        LinkAvailability linkAvailability =
                new LinkAvailability(mTrafficContext, mSettings.trafficThreads());
        mPeerNetwork = createPeerNetwork();
        mForwardClient =
                new ForwardClient(
                        context, mTrafficContext, linkAvailability, mPeerNetwork::withConnection);
        mCacheEventPoller = new CacheEventPoller(mTrafficContext, client, mEndpointTable);
        RequestCopyTracker copyTracker = new RequestCopyTracker(MAX_TRACKED_REQUEST_OUTCOMES);
        mAttemptRunner =
                new AttemptRunner(
                        mTrafficContext,
                        client,
                        mForwardClient,
                        mFinisher,
                        copyTracker,
                        mCacheEventPoller);
        Router router =
                new Router(
                        mSettings.region(),
                        mEndpointTable,
                        linkAvailability,
                        this::mayRunExclusiveRequestsOn);
        mDispatcher =
                new Dispatcher(
                        mTrafficContext,
                        router,
                        mFinisher,
                        copyTracker,
                        mAttemptRunner,
                        mAdmission);
        mAttemptRunner.setDispatcher(mDispatcher);
        mIdempotencyClaims = new IdempotencyClaims(context, mTrafficContext, mFinisher);
        mLoadPoller =
                new LoadPoller(
                        mTrafficContext, client, mEndpointTable, this::updateLeavingEndpoints);
        RequestFactory requestFactory = new RequestFactory(mTrafficContext);
        mForwardServer = createForwardServer(requestFactory);
        mCallerApi = createCallerApi(requestFactory);
        mTrafficContext
                .control()
                .addSnapshotListener(() -> context.runOnContext(ignored -> applySnapshot()));
        vertx.setPeriodic(TICK_INTERVAL_MS, timer -> tick());
        startListening(started);
    }

    private ForwardServer createForwardServer(RequestFactory requestFactory) {
        return new ForwardServer(
                mTrafficContext,
                requestFactory,
                this::serveForwarded,
                this::cancel,
                mFinisher::fail);
    }

    private CallerApi createCallerApi(RequestFactory requestFactory) {
        return new CallerApi(
                mTrafficContext,
                mSettings,
                requestFactory,
                mAdmission,
                mCallerConnections,
                this::serve,
                this::cancel,
                mFinisher::fail);
    }

    /**
     * Returns whether this instance is the one in its region that may run exclusive requests on the
     * endpoint.
     *
     * <p>The endpoints of a service are divided among the instances of the region. If there are
     * fewer endpoints than instances, every instance may use every endpoint.
     */
    private boolean mayRunExclusiveRequestsOn(EndpointState state) {
        List<Member> members =
                mTrafficContext.snapshot().membersAcceptingWorkIn(mSettings.region());
        List<EndpointState> endpoints =
                mEndpointTable.findByService(state.endpoint().service(), mSettings.region());
        if (members.isEmpty() || endpoints.size() < members.size()) {
            return true;
        }
        Member owner = members.get(endpoints.indexOf(state) % members.size());
        return owner.id().equals(mSettings.id());
    }

    private PeerNetwork createPeerNetwork() {
        PeerNetwork network =
                new PeerNetwork(
                        vertx,
                        context,
                        mSettings.peerSecurity(),
                        () -> mTrafficContext.snapshot().self(),
                        new TrafficPeerHandler(),
                        violation ->
                                LOG.warn("A peer was rejected.", LogField.of("why", violation)));
        if (mSettings.trafficThreads() > 1) {
            network.disableResumption();
        }
        return network;
    }

    private void startListening(Promise<Void> started) {
        mServer = vertx.createHttpServer(mCallerApi.serverOptions());
        mServer.connectionHandler(
                connection -> {
                    mListeningSocket.connectionOpened(connection);
                    mCallerConnections.add(connection);
                });
        mServer.requestHandler(mCallerApi.router(vertx));
        mServer.invalidRequestHandler(mCallerApi::refuseInvalid);
        mServer.listen(mPorts.callerPort(), mSettings.host())
                .compose(
                        server -> {
                            mPorts.setCallerPort(server.actualPort());
                            return Future.fromCompletionStage(
                                    mPeerNetwork.listen(mSettings.host(), mPorts.forwardPort()),
                                    context);
                        })
                .onSuccess(mPorts::setForwardPort)
                .<Void>mapEmpty()
                .onComplete(started);
    }

    /**
     * Dispatches a caller's request once its idempotency key is claimed or, for a model request,
     * its tokens are reserved.
     */
    private void serve(Exchange exchange, String idempotencyKey) {
        track(exchange);
        if (idempotencyKey != null && !exchange.request().retryable()) {
            mIdempotencyClaims.claim(exchange, idempotencyKey, mDispatcher::submit);
        } else if (exchange.request().isModelRequest()) {
            mAttemptRunner.checkCrashHistory(exchange, () -> reserveTokens(exchange));
        } else {
            mDispatcher.submit(exchange);
        }
    }

    private void serveForwarded(Exchange exchange) {
        track(exchange);
        if (exchange.request().isModelRequest()) {
            mAttemptRunner.checkCrashHistory(exchange, () -> mDispatcher.submit(exchange));
        } else {
            mDispatcher.submit(exchange);
        }
    }

    private void track(Exchange exchange) {
        mTrafficContext.metrics().received();
        mActiveExchanges.add(exchange);
        long remainingMs = Math.max(1, exchange.request().deadlineMs() - mTrafficContext.nowMs());
        long timer = vertx.setTimer(remainingMs, ignored -> refuseTimedOut(exchange));
        exchange.onEnd(
                () -> {
                    vertx.cancelTimer(timer);
                    mActiveExchanges.remove(exchange);
                    mDispatcher.remove(exchange);
                    mTrafficContext.metrics().ended();
                });
    }

    private void refuseTimedOut(Exchange exchange) {
        mFinisher.refuse(exchange, Refusal.timedOut(!exchange.mayHaveRun()));
    }

    private void reserveTokens(Exchange exchange) {
        Exchange.Request request = exchange.request();
        long waitMs = mTrafficContext.snapshot().configuration().rules().maxQueueWaitMs();
        mTrafficContext
                .control()
                .tokenReservations()
                .reserve(request.account(), request.maxTokens(), waitMs)
                .whenComplete(
                        (grant, failure) ->
                                context.runOnContext(
                                        ignored -> {
                                            if (failure == null) {
                                                exchange.setGrant(grant);
                                                submitWithTokens(exchange);
                                            } else {
                                                mFinisher.refuse(exchange, refusalFor(failure));
                                            }
                                        }));
    }

    private void submitWithTokens(Exchange exchange) {
        if (exchange.ended()) {
            mTrafficContext
                    .control()
                    .tokenReservations()
                    .settle(exchange.grant(), exchange.grant().tokens());
        } else {
            // The request may have crashed an endpoint elsewhere while this copy waited for tokens.
            mAttemptRunner.checkCrashHistory(exchange, () -> mDispatcher.submit(exchange));
        }
    }

    private static Refusal refusalFor(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof TokensRefusedException refused) {
            return switch (refused.kind()) {
                case RATE_EXCEEDED -> Refusal.rateExceeded(refused.retryAfterMs());
                case TOO_LARGE -> Refusal.exceedsBurst();
                default ->
                        Refusal.unavailable(
                                "No instance can reserve tokens for the account now. Retry later.");
            };
        }
        return Refusal.unavailable("Reserving the tokens failed. Retry later.");
    }

    private void cancel(Exchange exchange) {
        mFinisher.cancel(exchange);
    }

    private void tick() {
        if (mTrafficContext.snapshot() == null) {
            return;
        }
        if (mAppliedSnapshot == null) {
            applySnapshot();
        }
        mDispatcher.tick();
        mForwardClient.tick();
        mForwardServer.tick();
        mLoadPoller.tick(mTrafficContext.nowMs());
        mCacheEventPoller.tick(mTrafficContext.nowMs());
    }

    private void applySnapshot() {
        ControlSnapshot current = mTrafficContext.snapshot();
        ControlSnapshot previous = mAppliedSnapshot;
        mAppliedSnapshot = current;
        mForwardClient.membersChanged(current.members());
        long appliedRevision = previous == null ? -1 : previous.configuration().revision();
        if (current.configuration().lastChangeRevision(EntityKind.ENDPOINT) > appliedRevision) {
            mEndpointTable.setEndpoints(
                    current.configuration().all(Endpoint.class), mTrafficContext.nowMs());
        }
        if (current.configuration().lastChangeRevision(EntityKind.KEY) > appliedRevision) {
            endRequestsOfWithdrawnKeys(current);
        }
        updateLeavingEndpoints();
    }

    /** Ends the waiting and running requests of API keys that have been withdrawn. */
    private void endRequestsOfWithdrawnKeys(ControlSnapshot snapshot) {
        for (Exchange exchange : List.copyOf(mActiveExchanges)) {
            boolean withdrawn =
                    exchange.request().key() != null
                            && snapshot.configuration().apiKey(exchange.request().key()).isEmpty();
            if (withdrawn) {
                mFinisher.refuse(exchange, Refusal.keyWithdrawn(!exchange.mayHaveRun()));
            }
        }
    }

    private void updateLeavingEndpoints() {
        Set<EndpointId> leaving = new HashSet<>(mAppliedSnapshot.leavingEndpoints());
        leaving.addAll(mLoadPoller.leavingEndpoints());
        mEndpointTable.setLeaving(leaving);
    }

    /**
     * Announces the shutdown to callers, and ends requests when the schedule leaves them no time.
     */
    public void beginShutdown(ShutdownSchedule schedule) {
        context.runOnContext(
                ignored -> {
                    mAdmission.beginShutdown(schedule);
                    mCallerApi.announceClose();
                    runAt(schedule.lastStartMs(), this::endRequestsThatHaveNotRun);
                    runAt(schedule.endRequestsMs(), this::endAllRequests);
                });
    }

    private void runAt(long timeMs, Runnable action) {
        long delayMs = Math.max(1, timeMs - mTrafficContext.nowMs());
        vertx.setTimer(delayMs, timer -> action.run());
    }

    private void endRequestsThatHaveNotRun() {
        List.copyOf(mActiveExchanges).stream()
                .filter(exchange -> !exchange.mayHaveRun())
                .forEach(mAttemptRunner::endForShutdown);
    }

    private void endAllRequests() {
        mAdmission.close();
        List.copyOf(mActiveExchanges).forEach(mAttemptRunner::endForShutdown);
        mCallerApi.refuseUnanswered();
    }

    /**
     * Closes the server for callers as soon as no request is open, all responses have been sent and
     * other regions have received theirs, at the latest at the deadline.
     */
    public CompletableFuture<Void> closeWhenIdle(ShutdownSchedule schedule) {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        context.runOnContext(
                ignored ->
                        vertx.setPeriodic(
                                TICK_INTERVAL_MS,
                                timer -> {
                                    if (isClosed(schedule)) {
                                        vertx.cancelTimer(timer);
                                        closeServer().onComplete(done -> closed.complete(null));
                                    }
                                }));
        return closed;
    }

    /** Closes the server once requests on connections that waited to be accepted are refused. */
    private Future<Void> closeServer() {
        return mListeningSocket
                .close(context)
                .compose(done -> vertx.timer(LAST_REFUSALS_MS, TimeUnit.MILLISECONDS))
                .compose(done -> mServer.close());
    }

    /** Closes idle connections if no request is open; returns whether none is left to wait for. */
    private boolean isClosed(ShutdownSchedule schedule) {
        boolean idle =
                mActiveExchanges.isEmpty()
                        && !mCallerConnections.hasOpenRequests()
                        && !mForwardServer.hasWaitingRequests();
        if (idle) {
            mAdmission.close();
        } else {
            mDeliveryWaitStartMs = 0;
        }
        if (mAdmission.isClosed()) {
            mCallerConnections.closeIdle();
        }
        boolean deadlineReached = mTrafficContext.nowMs() >= schedule.deadlineMs();
        return deadlineReached
                || (idle && mCallerConnections.isEmpty() && forwardedResponsesDelivered(schedule));
    }

    /** Returns whether other regions have received their responses or had enough time for it. */
    private boolean forwardedResponsesDelivered(ShutdownSchedule schedule) {
        if (mForwardServer.endConnections().isDone() && !mForwardServer.hasUndelivered()) {
            return true;
        }
        long nowMs = mTrafficContext.nowMs();
        if (mDeliveryWaitStartMs == 0) {
            mDeliveryWaitStartMs = nowMs;
        }
        // The other half of the last delivery period is for the close of the instance.
        long latestMs = schedule.deadlineMs() - schedule.deliveryPeriodMs() / 2;
        boolean overdue =
                nowMs >= latestMs || nowMs - mDeliveryWaitStartMs >= schedule.deliveryPeriodMs();
        if (overdue) {
            LOG.warn("Forwarded responses have not been acknowledged; closing their connections.");
        }
        return overdue;
    }

    @Override
    public void stop(Promise<Void> stopped) {
        mServer.close()
                .compose(done -> Future.fromCompletionStage(mPeerNetwork.close(), context))
                .onComplete(stopped);
    }

    /** Passes messages of other instances to the client and the server of forwards. */
    private final class TrafficPeerHandler implements PeerHandler {

        @Override
        public void handle(PeerConnection connection, PeerMessage message) {
            if (mTrafficContext.snapshot() != null && !mForwardClient.handle(connection, message)) {
                mForwardServer.handle(connection, message);
            }
        }

        @Override
        public boolean refuseUnreadableForward(PeerConnection connection, long stream) {
            mForwardServer.refuseUnreadable(connection, stream);
            return true;
        }
    }
}
