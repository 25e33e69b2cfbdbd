package org.filbertrudder.gateway.traffic;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.gateway.control.Clocks;

/**
 * Drains a stopping instance: waits for the open requests, ends those that are left when the
 * schedule says so, and waits until the responses have been sent.
 */
final class GatewayDrain {

    private static final ComponentLogger LOG = ComponentLogger.of("traffic");
    private static final long CHECK_INTERVAL_MS = 20;

    /**
     * How long new requests are refused after the last open one has ended, in milliseconds. A
     * caller that sends its next request meanwhile gets a refusal instead of a closed connection.
     */
    private static final long REFUSAL_PERIOD_MS = 200;

    private final Vertx mVertx;
    private final CallerServer mCallerServer;
    private final Collection<GatewayExchange> mActive;
    private final GatewayExchangeFinisher mFinisher;
    private final StopSchedule mSchedule;
    private final CompletableFuture<Void> mDrained;
    private final Supplier<CompletableFuture<Void>> mEndForwards;
    private boolean mCut;
    private long mLastOpenMs;
    private CompletableFuture<Void> mForwardsEnded;

    /**
     * Creates the drain.
     *
     * @param active the admitted requests that have not ended, those of other instances included
     * @param endForwards closes the connections for forwarded requests; its result completes when
     *     their responses have been received
     * @param drained completes when the drain has ended
     */
    GatewayDrain(
            Vertx vertx,
            CallerServer callerServer,
            Collection<GatewayExchange> active,
            GatewayExchangeFinisher finisher,
            StopSchedule schedule,
            Supplier<CompletableFuture<Void>> endForwards,
            CompletableFuture<Void> drained) {
        mVertx = vertx;
        mCallerServer = callerServer;
        mActive = active;
        mFinisher = finisher;
        mSchedule = schedule;
        mLastOpenMs = schedule.acceptUntilMs();
        mEndForwards = endForwards;
        mDrained = drained;
    }

    void begin() {
        log("The drain begins.");
        mVertx.setPeriodic(CHECK_INTERVAL_MS, this::check);
    }

    private void check(long timer) {
        long nowMs = Clocks.steadyMs();
        if (nowMs < mSchedule.acceptUntilMs()) {
            return;
        }
        if (nowMs >= mSchedule.cutMs() && !mCut) {
            mCut = true;
            endOpenRequests();
        }
        boolean allAnswered = mActive.isEmpty() && mCallerServer.openRequests().size() == 0;
        if (allAnswered && mForwardsEnded == null) {
            mForwardsEnded = mEndForwards.get();
        }
        if (!allAnswered) {
            mLastOpenMs = nowMs;
        }
        boolean allSent =
                allAnswered && nowMs - mLastOpenMs >= REFUSAL_PERIOD_MS && mForwardsEnded.isDone();
        if (allSent || nowMs >= mSchedule.exitMs()) {
            mVertx.cancelTimer(timer);
            mCallerServer.openRequests().all().forEach(GatewayDrain::logUnfinished);
            log("The drain has ended.");
            mCallerServer.stopListening().onComplete(ignored -> refuseLastRequests());
        }
    }

    /**
     * Refuses the requests on the last accepted connections, and closes the server when none is
     * left. An open socket would accept requests that nobody answers until the process ends.
     */
    private void refuseLastRequests() {
        long nowMs = Clocks.steadyMs();
        long untilMs =
                Math.max(
                        nowMs + CHECK_INTERVAL_MS,
                        Math.min(nowMs + REFUSAL_PERIOD_MS, mSchedule.exitMs()));
        mVertx.setPeriodic(
                CHECK_INTERVAL_MS,
                timer -> {
                    boolean ends = Clocks.steadyMs() >= untilMs;
                    OpenRequests requests = mCallerServer.openRequests();
                    requests.closeIdleLongerThan(
                            ends ? -1 : REFUSAL_PERIOD_MS, OpenRequests.CloseCause.DRAIN);
                    if (ends || requests.connections() == 0) {
                        mVertx.cancelTimer(timer);
                        mCallerServer.close().onComplete(ignored -> mDrained.complete(null));
                    }
                });
    }

    private void endOpenRequests() {
        log("The drain ends the remaining requests.");
        mCallerServer.openRequests().all().forEach(GatewayDrain::logUnfinished);
        for (GatewayExchange exchange : List.copyOf(mActive)) {
            mFinisher.refuse(
                    exchange,
                    exchange.runs() == 0
                            ? GatewayRefusal.stopping()
                            : GatewayRefusal.incompleteResponse());
        }
        mCallerServer
                .openRequests()
                .all()
                .forEach(request -> request.refuseUnadmitted(GatewayRefusal.stopping()));
    }

    /** Logs how many requests are open at each step, those of callers and the forwarded ones. */
    private void log(String message) {
        List<RequestStep> steps = new ArrayList<>();
        mCallerServer.openRequests().all().forEach(request -> steps.add(request.step()));
        mActive.stream()
                .filter(GatewayExchange::forwarded)
                .forEach(exchange -> steps.add(exchange.step()));
        LOG.info(
                message,
                LogField.of("running", mActive.size()),
                LogField.of("steps", RequestStep.summary(steps)),
                LogField.of("ms", Clocks.steadyMs() - mSchedule.signalMs()));
    }

    private static void logUnfinished(OpenRequests.OpenRequest request) {
        LOG.info(
                "A request is unfinished at the end of the drain.",
                LogField.of("id", request.id()),
                LogField.of("step", request.step()),
                LogField.of("ms", Clocks.steadyMs() - request.arrivedMs()));
    }
}
