package org.filbertrudder.entry;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.AbstractVerticle;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.filbertrudder.entry.admin.AdminApi;
import org.filbertrudder.entry.control.ControlLoop;
import org.filbertrudder.entry.control.ControlState;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.entry.traffic.ListenPorts;
import org.filbertrudder.entry.traffic.ShutdownSchedule;
import org.filbertrudder.entry.traffic.TrafficContext;
import org.filbertrudder.entry.traffic.TrafficMetrics;
import org.filbertrudder.entry.traffic.TrafficVerticle;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.store.EtcdStore;
import org.filbertrudder.store.PlatformDirectory;
import org.filbertrudder.store.WatchableStore;

/** Runs one entry instance with one control thread and a number of traffic threads. */
public final class EntryInstance {

    private static final ComponentLogger LOG = ComponentLogger.of("entry");
    private static final long STORE_REQUEST_TIMEOUT_MS = 2_000;
    private static final long PLATFORM_REQUEST_TIMEOUT_MS = 2_000;
    private static final long SHARD_HANDOVER_TIMEOUT_MS = 5_000;
    private static final long CLOSE_TIMEOUT_MS = 500;

    private final EntrySettings mSettings;
    private final Closer mCloser = new Closer();
    private final MetricRegistry mRegistry = new MetricRegistry();
    private final TrafficMetrics mMetrics = new TrafficMetrics(mRegistry);
    private final CompletableFuture<Void> mStopped = new CompletableFuture<>();
    private final ListenPorts mPorts;
    private final List<TrafficVerticle> mTrafficVerticles = new ArrayList<>();
    private Vertx mVertx;
    private ControlLoop mControl;
    private volatile int mPeerPort;
    private volatile int mAdminPort;
    private boolean mStopping;

    private EntryInstance(EntrySettings settings) {
        mSettings = settings;
        mPorts = new ListenPorts(settings.callerPort(), settings.forwardPort());
    }

    /**
     * Starts an instance.
     *
     * @return a future of the instance that completes when it can serve callers; fails if a port is
     *     already in use
     */
    public static CompletableFuture<EntryInstance> start(EntrySettings settings) {
        EntryInstance entry = new EntryInstance(settings);
        return entry.deploy()
                .thenCompose(ignored -> entry.mControl.ready())
                .thenApply(ignored -> entry);
    }

    private CompletableFuture<Void> deploy() {
        mVertx =
                Vertx.vertx(
                        new VertxOptions().setEventLoopPoolSize(1 + mSettings.trafficThreads()));
        mCloser.add(() -> mVertx.close().toCompletionStage().toCompletableFuture());
        WatchableStore store =
                new EtcdStore(
                        mVertx,
                        mSettings.store().host(),
                        mSettings.store().port(),
                        STORE_REQUEST_TIMEOUT_MS);
        ControlVerticle verticle = new ControlVerticle(store);
        return mVertx.deployVerticle(verticle)
                .compose(id -> deployTrafficVerticles(store))
                .compose(id -> verticle.join())
                .toCompletionStage()
                .toCompletableFuture();
    }

    private Future<Void> deployTrafficVerticles(WatchableStore store) {
        TrafficContext context =
                new TrafficContext(
                        mVertx,
                        mControl,
                        mControl::snapshot,
                        store,
                        mMetrics,
                        EntryInstance::monotonicMs);
        Future<Void> deployed = Future.succeededFuture();
        for (int i = 0; i < mSettings.trafficThreads(); i++) {
            TrafficVerticle trafficVerticle = new TrafficVerticle(context, mSettings, mPorts);
            mTrafficVerticles.add(trafficVerticle);
            deployed =
                    deployed.compose(ignored -> mVertx.deployVerticle(trafficVerticle).mapEmpty());
        }
        return deployed;
    }

    private static long monotonicMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /**
     * Shuts the instance down gracefully: redirects callers to other instances, waits for running
     * requests and closes all resources.
     */
    public synchronized CompletableFuture<Void> shutDown() {
        if (!mStopping) {
            mStopping = true;
            LOG.info("The instance is shutting down.", LogField.of("instance", mSettings.id()));
            ShutdownSchedule schedule =
                    new ShutdownSchedule(monotonicMs(), mSettings.drainTimeoutMs());
            mTrafficVerticles.forEach(verticle -> verticle.beginShutdown(schedule));
            CompletableFuture<Void> handedOver =
                    mControl.leave()
                            .orTimeout(SHARD_HANDOVER_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                            .exceptionally(failure -> null);
            CompletableFuture.allOf(handedOver, drain(schedule))
                    .orTimeout(schedule.graceMs(), TimeUnit.MILLISECONDS)
                    .whenComplete((ignored, failure) -> close(schedule));
        }
        return mStopped;
    }

    /** Gives callers time to switch to other instances, then waits for the open requests. */
    private CompletableFuture<Void> drain(ShutdownSchedule schedule) {
        CompletableFuture<Void> redirected = new CompletableFuture<>();
        mVertx.setTimer(
                Math.max(1, schedule.acceptUntilMs() - monotonicMs()),
                timer -> redirected.complete(null));
        return redirected.thenCompose(
                ignored ->
                        CompletableFuture.allOf(
                                mTrafficVerticles.stream()
                                        .map(verticle -> verticle.closeWhenIdle(schedule))
                                        .toArray(CompletableFuture<?>[]::new)));
    }

    private void close(ShutdownSchedule schedule) {
        long remainingMs = Math.max(0, schedule.deadlineMs() - monotonicMs());
        mControl.stop()
                .thenCompose(ignored -> mCloser.close())
                .orTimeout(remainingMs + CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .whenComplete(
                        (ignored, failure) -> {
                            LOG.info(
                                    "The instance has stopped.",
                                    LogField.of("instance", mSettings.id()));
                            mStopped.complete(null);
                        });
    }

    /** Returns a future that completes when the instance has stopped. */
    public CompletableFuture<Void> stopped() {
        return mStopped;
    }

    /** Returns the TCP port that serves callers. */
    public int callerPort() {
        return mPorts.callerPort();
    }

    /** Returns the TCP port that serves the administration API. */
    public int adminPort() {
        return mAdminPort;
    }

    /** Returns the TCP port that receives control messages from other instances. */
    public int peerPort() {
        return mPeerPort;
    }

    /** Returns the configuration revision in force. */
    public long revision() {
        return mControl.snapshot().configuration().revision();
    }

    private StateDump stateDump() {
        Map<String, Object> metrics = new TreeMap<>();
        mRegistry.getCounters().forEach((name, counter) -> metrics.put(name, counter.getCount()));
        mRegistry
                .getTimers()
                .forEach(
                        (name, timer) ->
                                metrics.put(
                                        name,
                                        new TimerSummary(
                                                timer.getCount(),
                                                timer.getSnapshot().getMedian() / 1e6,
                                                timer.getSnapshot().get99thPercentile() / 1e6)));
        long heapBytes = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
        return new StateDump(mControl.state(), metrics, heapBytes);
    }

    /**
     * Represents the state dump that operators request from the administration API.
     *
     * @param control the state of the control thread
     * @param metrics the counters and timers, by name
     * @param heapBytes the used heap, in bytes
     */
    private record StateDump(ControlState control, Map<String, Object> metrics, long heapBytes) {}

    /**
     * Summarises the measurements of a timer.
     *
     * @param count the number of measurements
     * @param medianMs the median, in milliseconds
     * @param p99Ms the 99th percentile, in milliseconds
     */
    private record TimerSummary(long count, double medianMs, double p99Ms) {}

    /** Runs the control loop on its own event loop thread. */
    private final class ControlVerticle extends AbstractVerticle {

        private final WatchableStore mStore;

        ControlVerticle(WatchableStore store) {
            mStore = store;
        }

        @Override
        public void start(Promise<Void> started) {
            PlatformDirectory platform =
                    new PlatformDirectory(
                            vertx,
                            mSettings.platform().host(),
                            mSettings.platform().port(),
                            PLATFORM_REQUEST_TIMEOUT_MS);
            mControl =
                    new ControlLoop(
                            vertx,
                            context,
                            mSettings,
                            mStore,
                            platform,
                            EntryInstance::monotonicMs);
            mControl.listen()
                    .whenComplete(
                            (port, failure) -> {
                                if (failure != null) {
                                    started.fail(failure);
                                } else {
                                    mPeerPort = port;
                                    started.complete();
                                }
                            });
        }

        /** Joins the fleet and starts the administration API, once all other ports are bound. */
        Future<Void> join() {
            Promise<Void> joined = Promise.promise();
            context.runOnContext(
                    ignored -> {
                        mControl.start(ownMember());
                        AdminApi admin =
                                new AdminApi(
                                        mControl,
                                        mSettings,
                                        EntryInstance.this::stateDump,
                                        EntryInstance.this::shutDown);
                        admin.listen(vertx)
                                .whenComplete(
                                        (port, failure) -> {
                                            if (failure != null) {
                                                joined.fail(failure);
                                            } else {
                                                mAdminPort = port;
                                                joined.complete();
                                            }
                                        });
                    });
            return joined.future();
        }

        private Member ownMember() {
            return new Member(
                    mSettings.id(),
                    System.currentTimeMillis(),
                    mSettings.region(),
                    mSettings.failureDomain(),
                    mSettings.host(),
                    mPeerPort,
                    mPorts.forwardPort(),
                    mPorts.callerPort(),
                    MemberState.LIVE);
        }
    }
}
