package org.filbertrudder.gateway;

import io.vertx.core.AbstractVerticle;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.filbertrudder.entry.Closer;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.gateway.control.GatewayControl;
import org.filbertrudder.gateway.control.StateSource;
import org.filbertrudder.gateway.traffic.GatewayMetrics;
import org.filbertrudder.gateway.traffic.GatewayTrafficVerticle;
import org.filbertrudder.gateway.traffic.HttpProtocol;
import org.filbertrudder.gateway.traffic.ManagementVerticle;

/** Runs a gateway instance: a control thread and a traffic thread. */
public final class Gateway {

    private static final ComponentLogger LOG = ComponentLogger.of("gateway");
    private static final int EVENT_LOOPS = 2;
    private static final int WORKER_THREADS = 1;

    private final GatewaySettings mSettings;
    private final HttpProtocol mProtocol;
    private final Closer mCloser = new Closer();
    private final GatewayMetrics mMetrics = new GatewayMetrics();
    private final CompletableFuture<Void> mStopped = new CompletableFuture<>();
    private Vertx mVertx;
    private GatewayControl mControl;
    private GatewayTrafficVerticle mTraffic;
    private boolean mStopping;

    private Gateway(GatewaySettings settings, HttpProtocol protocol) {
        mSettings = settings;
        mProtocol = protocol;
    }

    /**
     * Starts a gateway instance.
     *
     * @param source creates the source of the state that is kept in the store
     * @return the running instance; fails if a port is already in use
     */
    public static CompletableFuture<Gateway> start(
            GatewaySettings settings, Function<Vertx, StateSource> source, HttpProtocol protocol) {
        Gateway gateway = new Gateway(settings, protocol);
        return gateway.run(source).thenApply(done -> gateway);
    }

    private CompletableFuture<Void> run(Function<Vertx, StateSource> source) {
        mVertx =
                Vertx.vertx(
                        new VertxOptions()
                                .setEventLoopPoolSize(EVENT_LOOPS)
                                .setWorkerPoolSize(WORKER_THREADS)
                                .setInternalBlockingPoolSize(WORKER_THREADS));
        mCloser.add(() -> mVertx.close().toCompletionStage().toCompletableFuture());
        LOG.info(
                "Starting.",
                LogField.of("instance", mSettings.id()),
                LogField.of("domain", mSettings.failureDomain()),
                LogField.of("region", mSettings.region()));
        return mVertx.deployVerticle(new ControlVerticle(source.apply(mVertx)))
                .compose(
                        id -> {
                            mTraffic =
                                    new GatewayTrafficVerticle(
                                            mSettings, mControl, mProtocol, mMetrics);
                            return mVertx.deployVerticle(mTraffic);
                        })
                .compose(
                        id ->
                                mVertx.deployVerticle(
                                        new ManagementVerticle(
                                                mSettings, mControl, mProtocol, mMetrics,
                                                mTraffic)))
                .<Void>mapEmpty()
                .toCompletionStage()
                .toCompletableFuture();
    }

    /**
     * Applies changed settings while the instance runs.
     *
     * <p>Time limits, retry budgets and seeds take effect at once, all other settings only after a
     * restart.
     */
    public void reload(GatewaySettings settings) {
        LOG.info("The settings have been reloaded.", LogField.of("bounds", settings.bounds()));
        mControl.reload(settings);
    }

    /** Stops the instance; requests that can complete within the grace period are not aborted. */
    public CompletableFuture<Void> shutDown() {
        return shutDown(Clocks.steadyMs());
    }

    /**
     * Stops the instance as {@link #shutDown()}.
     *
     * @param signalMs when the stop was requested, on the steady clock
     */
    public synchronized CompletableFuture<Void> shutDown(long signalMs) {
        if (!mStopping) {
            mStopping = true;
            LOG.info("Stopping.", LogField.of("instance", mSettings.id()));
            mControl.announceLeaving();
            mTraffic.drain(signalMs)
                    .thenCompose(done -> mControl.stop())
                    .whenComplete(
                            (done, failure) -> {
                                LOG.info("Stopped.", LogField.of("instance", mSettings.id()));
                                mStopped.complete(null);
                            });
        }
        return mStopped;
    }

    /** Completes when the instance has shut down. */
    public CompletableFuture<Void> stopped() {
        return mStopped;
    }

    /** Closes all resources without draining requests. */
    public CompletableFuture<Void> close() {
        return mCloser.close();
    }

    /** Runs the control state on a separate event loop. */
    private final class ControlVerticle extends AbstractVerticle {

        private final StateSource mSource;

        ControlVerticle(StateSource source) {
            mSource = source;
        }

        @Override
        public void start(Promise<Void> started) {
            mControl = new GatewayControl(vertx, context, mSettings, mSource);
            mControl.start()
                    .whenComplete(
                            (done, failure) -> {
                                if (failure == null) {
                                    started.complete();
                                } else {
                                    started.fail(failure);
                                }
                            });
        }
    }
}
