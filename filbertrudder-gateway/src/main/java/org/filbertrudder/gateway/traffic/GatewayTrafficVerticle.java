package org.filbertrudder.gateway.traffic;

import io.vertx.core.AbstractVerticle;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.gateway.GatewaySettings;
import org.filbertrudder.gateway.config.GatewayConfiguration;
import org.filbertrudder.gateway.config.ServiceRule;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.gateway.control.GatewayControl;
import org.filbertrudder.gateway.control.GatewaySnapshot;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PartEvidence;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.peer.PeerConnection;
import org.filbertrudder.peer.PeerHandler;
import org.filbertrudder.peer.PeerNetwork;
import org.filbertrudder.peer.PeerSecurity;
import org.filbertrudder.peer.forwarding.HeldBytes;
import org.filbertrudder.policy.routing.EndpointTable;
import org.filbertrudder.policy.routing.Router;

/** Serves callers' requests and forwarded requests on one event loop. */
public final class GatewayTrafficVerticle extends AbstractVerticle {

    private static final ComponentLogger LOG = ComponentLogger.of("traffic");
    private static final long TICK_MS = 100;
    private static final long SLOW_TICK_MS = 1_000;

    /**
     * One of so many parts of the heap may hold request bodies; each may be copied for its
     * connection and for an attempt in another region.
     */
    static final int BODY_HEAP_PARTS = 6;

    /**
     * The delay before a pass over a queue, in milliseconds; one pass uses all capacity that
     * becomes free meanwhile.
     */
    private static final long PUMP_DELAY_MS = 10;

    /**
     * Idle connections may use half of the connections that an endpoint accepts; the other half is
     * left for running requests.
     */
    private static final int IDLE_CONNECTION_DIVISOR = 2;

    private final GatewaySettings mSettings;
    private final GatewayControl mControl;
    private final HttpProtocol mProtocol;
    private final GatewayMetrics mMetrics;
    private final EndpointTable mEndpointTable = new EndpointTable();
    private final EndpointTableUpdater mTableUpdater;
    private EndpointFailureDetector mFailureDetector;
    private SuspectedRestartReporting mRestartReporting;
    private final Set<GatewayExchange> mActive = new LinkedHashSet<>();
    private final RandomGenerator mRandom = new SplittableRandom();
    private final ForwardedExchangeFactory mForwardedExchanges;
    private final RunTimes mRunTimes = new RunTimes();
    private CallerServer mCallerServer;
    private PeerNetwork mNetwork;
    private GatewayForwardClient mForwardClient;
    private GatewayForwardServer mForwardServer;
    private LoadReporting mLoadReporting;
    private SendPermitService mSendPermits;
    private StartScheduling mStartScheduling;
    private CrashingPartService mCrashingParts;
    private GatewayAttemptRunner mRunner;
    private EndpointConnectionPools mConnections;
    private RequestDispatcher mDispatcher;
    private GatewayExchangeFinisher mFinisher;
    private Admission mAdmission;
    private long mNextSlowTickMs;
    private Optional<StopSchedule> mStop = Optional.empty();

    /** Creates the verticle that handles the requests of an instance. */
    public GatewayTrafficVerticle(
            GatewaySettings settings,
            GatewayControl control,
            HttpProtocol protocol,
            GatewayMetrics metrics) {
        mSettings = settings;
        mControl = control;
        mProtocol = protocol;
        mForwardedExchanges = new ForwardedExchangeFactory(protocol, mRandom);
        mMetrics = metrics;
        mEndpointTable.limitBodyBytes(settings.limitsUnreadBytes());
        mTableUpdater = new EndpointTableUpdater(settings.id(), settings.region(), mEndpointTable);
    }

    @Override
    public void start(Promise<Void> started) {
        mNetwork =
                new PeerNetwork(
                        vertx,
                        context,
                        PeerSecurity.plainText(),
                        () -> mControl.snapshot().self(),
                        new ForwardPeerHandler(),
                        violation ->
                                LOG.warn("A peer was rejected.", LogField.of("why", violation)));
        EndpointLimitTracker limits = createLoadAndLimitExchange();
        mCrashingParts = createCrashingParts();
        mForwardClient = new GatewayForwardClient(mNetwork::withConnection);
        mConnections =
                new EndpointConnectionPools(
                        new EndpointConnector(context, mProtocol),
                        this::maxIdleConnections,
                        id -> mFailureDetector.probeUnlessSuspected(id));
        mFinisher = new GatewayExchangeFinisher(mControl, mMetrics);
        mFailureDetector = createFailureDetector();
        mRestartReporting =
                new SuspectedRestartReporting(mFailureDetector, mControl::snapshot, mNetwork);
        UniformRegionGraph regions = new UniformRegionGraph(mSettings.domains().values());
        mStartScheduling = createStartScheduling(regions);
        mRunner =
                new GatewayAttemptRunner(createDependencies(limits), mRandom, this::endsBeforeStop);
        mDispatcher = createDispatcher(regions);
        mRunner.setDispatcher(mDispatcher);
        mAdmission = createAdmission();
        HeldBytes bodies = HeldBytes.ofHeapPart(BODY_HEAP_PARTS);
        mForwardServer =
                new GatewayForwardServer(this::acceptForwarded, this::callerDisconnected, bodies);
        mCallerServer = createCallerServer(bodies);
        addGauges();
        mControl.addSnapshotListener(() -> context.runOnContext(ignored -> snapshotChanged()));
        snapshotChanged();
        vertx.setPeriodic(TICK_MS, timer -> tick());
        Future.fromCompletionStage(
                        mNetwork.listen(mSettings.callerAddress().host(), mSettings.forwardPort()),
                        context)
                .compose(port -> mCallerServer.listen())
                .onComplete(started);
    }

    private CallerServer createCallerServer(HeldBytes bodies) {
        return new CallerServer(
                vertx,
                mSettings,
                mControl,
                mProtocol,
                mAdmission,
                mRandom,
                this::isStopping,
                this::isRefusing,
                bodies,
                mMetrics,
                new CallerExchanges());
    }

    private RequestDispatcher createDispatcher(UniformRegionGraph regions) {
        RequestDispatcher dispatcher =
                new RequestDispatcher(
                        new Router(mSettings.region(), mEndpointTable, mLoadReporting),
                        regions,
                        mRandom,
                        mRunner,
                        action -> vertx.setTimer(PUMP_DELAY_MS, ignored -> action.run()));
        dispatcher.setScheduledStarts(mStartScheduling.client());
        return dispatcher;
    }

    private AttemptDependencies createDependencies(EndpointLimitTracker limits) {
        return new AttemptDependencies(
                vertx,
                mControl,
                mProtocol,
                mConnections,
                mForwardClient,
                mLoadReporting,
                limits,
                mCrashingParts,
                mFailureDetector,
                new RetryBudgets(mControl::bounds),
                mStartScheduling.client(),
                mFinisher);
    }

    private StartScheduling createStartScheduling(UniformRegionGraph regions) {
        StartContext starts =
                new StartContext(
                        mControl::snapshot,
                        mEndpointTable,
                        Clocks::steadyMs,
                        (delayMs, action) -> vertx.setTimer(delayMs, ignored -> action.run()),
                        () -> mRunner,
                        exchange -> mDispatcher.submitUnscheduled(exchange),
                        exchange -> mDispatcher.submit(exchange),
                        new StartMetrics(mMetrics));
        return new StartScheduling(
                new SchedulingScope(mSettings.limitsUnreadBytes()), starts, regions, mNetwork);
    }

    private Admission createAdmission() {
        return new Admission(
                vertx, context, mControl, mFinisher, mDispatcher::submit, this::refuseBlocked);
    }

    private EndpointFailureDetector createFailureDetector() {
        EndpointFailureDetector detector =
                new EndpointFailureDetector(
                        mConnections,
                        mControl,
                        mEndpointTable,
                        mSettings.region(),
                        mTableUpdater,
                        mMetrics,
                        mCrashingParts);
        mControl.crashReports()
                .addListener(
                        id -> context.runOnContext(ignored -> detector.probeUnlessSuspected(id)));
        return detector;
    }

    private CrashingPartService createCrashingParts() {
        CrashingPartService parts =
                new CrashingPartService(
                        mControl::snapshot,
                        mNetwork,
                        mMetrics,
                        mControl.blockedParts(),
                        this::refuseNewlyBlocked);
        mControl.blockedParts()
                .stored()
                .thenAccept(stored -> context.runOnContext(ignored -> parts.addStored(stored)));
        return parts;
    }

    /** Refuses the requests without an answer so far that have a blocked part. */
    private void refuseNewlyBlocked() {
        for (GatewayExchange exchange : List.copyOf(mActive)) {
            if (exchange.relay() == null && exchange.mayCancel()) {
                refuseBlocked(exchange);
            }
        }
    }

    /** Refuses a request that has a blocked part; returns whether it did. */
    private boolean refuseBlocked(GatewayExchange exchange) {
        Optional<String> part = mCrashingParts.refusedPart(exchange);
        part.ifPresent(blocked -> mRunner.giveUpBlocked(exchange, blocked));
        return part.isPresent();
    }

    /** Returns the prompt parts that are blocked; may be called from any thread. */
    public List<PartEvidence> blockedParts() {
        return mCrashingParts.blocked();
    }

    /** Allows a blocked part again; completes with whether it was blocked. */
    public CompletableFuture<Boolean> allowPart(String part) {
        CompletableFuture<Boolean> allowed = new CompletableFuture<>();
        context.runOnContext(ignored -> allowed.complete(mCrashingParts.allow(part)));
        return allowed;
    }

    /** Creates what exchanges loads, limits and permits with the other instances. */
    private EndpointLimitTracker createLoadAndLimitExchange() {
        EndpointLimitTracker limits =
                new EndpointLimitTracker(
                        mEndpointTable, mMetrics, id -> mFailureDetector.noteLimitRelaxed(id));
        mLoadReporting = new LoadReporting(mEndpointTable, limits, mControl::snapshot, mNetwork);
        mSendPermits =
                new SendPermitService(
                        mEndpointTable,
                        limits,
                        mControl::snapshot,
                        mNetwork,
                        mMetrics,
                        service -> mDispatcher.schedulePump(service));
        return limits;
    }

    private void addGauges() {
        mMetrics.gauge("requests_running", mActive::size);
        mMetrics.gauge("requests_waiting", mDispatcher::waiting);
        mMetrics.gauge("endpoint_connections_opened", mConnections::opened);
        mMetrics.gauge("crash_reports_received", mControl.crashReports()::received);
        mMetrics.gauge("crash_reports_forwarded", mControl.crashReports()::forwarded);
        mCallerServer.slowCallers().addGauges(mMetrics);
        mControl.registerMetrics((name, value) -> mMetrics.gauge(name, value::get));
        mMetrics.peerTraffic("control", mControl.peerCounters());
        mMetrics.peerTraffic("forwards", mNetwork.counters());
    }

    /**
     * Returns the maximum number of idle connections that this instance keeps to an endpoint, its
     * share of those that the endpoint accepts.
     */
    private int maxIdleConnections(Endpoint endpoint) {
        GatewaySnapshot snapshot = mControl.snapshot();
        int maxConnections =
                Optional.ofNullable(snapshot.configuration())
                        .flatMap(configuration -> configuration.service(endpoint.service()))
                        .map(ServiceRule::maxConnections)
                        .orElse(Integer.MAX_VALUE);
        int instances = Math.max(1, snapshot.membersAcceptingWorkIn(endpoint.region()).size());
        return Math.max(1, maxConnections / (IDLE_CONNECTION_DIVISOR * instances));
    }

    private boolean isStopping() {
        return mStop.isPresent();
    }

    /** Returns whether a request that starts now is expected to end before this instance stops. */
    private boolean endsBeforeStop(GatewayExchange exchange) {
        if (mStop.isEmpty()) {
            return true;
        }
        long nowMs = Clocks.steadyMs();
        long remainingMs = exchange.deadlineMs() - nowMs;
        long expectedMs =
                Math.min(
                        remainingMs,
                        mRunTimes.longestMs(exchange.route().name()).orElse(remainingMs));
        return mStop.get().mayStart(nowMs, exchange.route().isRepeatable(), expectedMs);
    }

    private boolean isRefusing() {
        return mStop.map(stop -> Clocks.steadyMs() >= stop.acceptUntilMs()).orElse(false);
    }

    private void begin(GatewayExchange exchange) {
        mMetrics.counter(exchange.forwarded() ? "requests_forwarded_here" : "requests_received")
                .inc();
        mActive.add(exchange);
        exchange.followConfiguration(() -> mControl.snapshot().configuration());
        long remainingMs = Math.max(1, exchange.deadlineMs() - Clocks.steadyMs());
        long timer = vertx.setTimer(remainingMs, ignored -> timeOut(exchange));
        exchange.onEnd(
                () -> {
                    vertx.cancelTimer(timer);
                    mActive.remove(exchange);
                    mDispatcher.remove(exchange);
                    if (exchange.runs() > 0) {
                        long durationMs = Clocks.steadyMs() - exchange.arrivedMs();
                        mRunTimes.record(exchange.route().name(), durationMs);
                    }
                });
    }

    private void timeOut(GatewayExchange exchange) {
        mFinisher.refuse(exchange, GatewayRefusal.timedOut(exchange.runs() == 0));
    }

    private void callerDisconnected(GatewayExchange exchange) {
        if (exchange.ended() || exchange.callerDisconnected()) {
            return;
        }
        exchange.setCallerDisconnected();
        if (exchange.mayCancel()) {
            mFinisher.callerDisconnected(exchange);
        }
    }

    private Optional<GatewayExchange> acceptForwarded(
            PeerMessage.ForwardStart start, int senderVersion, GatewayResponseSink sink) {
        long nowMs = Clocks.steadyMs();
        GatewayConfiguration configuration = mControl.snapshot().configuration();
        if (configuration == null || isRefusing()) {
            sink.refuse(
                    configuration == null ? GatewayRefusal.notReady() : GatewayRefusal.stopping());
            return Optional.empty();
        }
        Optional<GatewayExchange> exchange =
                mForwardedExchanges.create(start, senderVersion, configuration, sink, nowMs);
        exchange.ifPresent(this::admitForwarded);
        return exchange;
    }

    private void admitForwarded(GatewayExchange exchange) {
        try {
            begin(exchange);
            mAdmission.admitForwarded(exchange);
        } catch (RuntimeException e) {
            LOG.warn(
                    "Handling a forwarded request has failed.",
                    LogField.of("id", exchange.head().requestId()),
                    LogField.of("error", e));
            mFinisher.failAfterException(exchange);
        }
    }

    private void tick() {
        long nowMs = Clocks.steadyMs();
        runTask("queues", mDispatcher::tick);
        runTask("load", () -> mLoadReporting.tick(nowMs));
        runTask("starts", mStartScheduling::tick);
        runTask("permits", () -> mSendPermits.tick(nowMs));
        runTask("parts", () -> mCrashingParts.tick(nowMs));
        runTask("sent forwards", () -> mForwardClient.tick(nowMs));
        runTask("received forwards", () -> mForwardServer.tick(nowMs));
        runTask("endpoints", () -> mFailureDetector.tick(nowMs));
        runTask("restarts", () -> mRestartReporting.tick(nowMs));
        runTask("late callers", mCallerServer::endLateConnections);
        runTask("slow callers", mCallerServer.slowCallers()::tick);
        if (nowMs >= mNextSlowTickMs) {
            mNextSlowTickMs = nowMs + SLOW_TICK_MS;
            runTask("connections", () -> mConnections.tick(registeredEndpoints()));
            runTask("limits", () -> mEndpointTable.expireLimits(nowMs));
            runTask("stored parts", () -> mCrashingParts.maintain(nowMs));
            if (isRefusing()) {
                runTask("idle callers", mCallerServer::closeIdle);
            }
        }
    }

    /** Runs a periodic task; an exception that it raises does not keep the others from running. */
    private static void runTask(String name, Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            LOG.warn(
                    "A periodic task has failed.",
                    LogField.of("task", name),
                    LogField.of("error", e));
        }
    }

    private Set<EndpointId> registeredEndpoints() {
        Set<EndpointId> registered = new HashSet<>();
        mControl.snapshot()
                .endpoints()
                .forEach(availability -> registered.add(availability.endpoint().id()));
        return registered;
    }

    private void snapshotChanged() {
        GatewaySnapshot snapshot = mControl.snapshot();
        mForwardClient.membersChanged(snapshot.members());
        if (snapshot.configuration() == null) {
            return;
        }
        mTableUpdater.update(snapshot);
        mRestartReporting.applyPending(Clocks.steadyMs());
        refuseWithdrawnKeys(snapshot.configuration());
    }

    /** Refuses the requests that have not run yet and whose API key has been withdrawn. */
    private void refuseWithdrawnKeys(GatewayConfiguration configuration) {
        for (GatewayExchange exchange : List.copyOf(mActive)) {
            boolean withdrawn =
                    exchange.account().isPresent()
                            && !exchange.forwarded()
                            && exchange.runs() == 0
                            && exchange.head()
                                    .apiKey()
                                    .flatMap(configuration::accountOfKey)
                                    .isEmpty();
            if (withdrawn) {
                mFinisher.refuse(exchange, GatewayRefusal.unauthorized());
            }
        }
    }

    /**
     * Drains this instance. Requests of callers that are not aware of the stop yet are first still
     * accepted; then new requests are refused while running ones complete.
     *
     * @param signalMs when the stop was requested, on the steady clock
     * @return a future that completes when no request is open, or shortly before the grace period
     *     ends
     */
    public CompletableFuture<Void> drain(long signalMs) {
        CompletableFuture<Void> drained = new CompletableFuture<>();
        context.runOnContext(ignored -> beginDrain(signalMs, drained));
        return drained;
    }

    private void beginDrain(long signalMs, CompletableFuture<Void> drained) {
        mStop = Optional.of(StopSchedule.of(signalMs, mControl.bounds().graceMs()));
        new GatewayDrain(
                        vertx,
                        mCallerServer,
                        mActive,
                        mFinisher,
                        mStop.get(),
                        mForwardServer::endConnections,
                        drained)
                .begin();
    }

    @Override
    public void stop(Promise<Void> stopped) {
        mCallerServer
                .close()
                .compose(done -> Future.fromCompletionStage(mNetwork.close(), context))
                .onComplete(stopped);
    }

    /** Passes messages of other instances to the parts that handle them. */
    private final class ForwardPeerHandler implements PeerHandler {

        @Override
        public void handle(PeerConnection connection, PeerMessage message) {
            // Responses arrive on connections that this instance opened, on which the peer does not
            // identify itself.
            if (mForwardClient.handle(connection, message) || connection.peerMember() == null) {
                return;
            }
            Member from = connection.peerMember();
            if (!mLoadReporting.handle(from, message)
                    && !mSendPermits.handle(connection, message)
                    && !mStartScheduling.handle(connection, message)
                    && !mCrashingParts.handle(from, message)
                    && !mRestartReporting.handle(from, message)) {
                mForwardServer.handle(connection, message);
            }
        }

        @Override
        public boolean refuseUnreadableForward(PeerConnection connection, long stream) {
            mForwardServer.refuseUnreadable(connection, stream);
            return true;
        }
    }

    /** Passes exchanges of the callers' server to this verticle. */
    private final class CallerExchanges implements CallerServer.ExchangeLifecycle {

        @Override
        public void begin(GatewayExchange exchange) {
            GatewayTrafficVerticle.this.begin(exchange);
        }

        @Override
        public void callerDisconnected(GatewayExchange exchange) {
            GatewayTrafficVerticle.this.callerDisconnected(exchange);
        }

        @Override
        public void fail(GatewayExchange exchange) {
            mFinisher.failAfterException(exchange);
        }
    }
}
