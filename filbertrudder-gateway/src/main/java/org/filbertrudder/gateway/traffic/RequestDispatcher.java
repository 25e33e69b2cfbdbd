package org.filbertrudder.gateway.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.model.AllowedRegions;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.policy.queueing.FairQueue;
import org.filbertrudder.policy.queueing.WaitEstimate;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.routing.PromptDemand;
import org.filbertrudder.policy.routing.RegionGraph;
import org.filbertrudder.policy.routing.Route;
import org.filbertrudder.policy.routing.RouteRequest;
import org.filbertrudder.policy.routing.Router;

/** Routes requests to endpoints or other regions, and queues those that have to wait. */
final class RequestDispatcher {

    /**
     * A request precedes those of the next lower priority that arrived up to this much earlier, in
     * milliseconds.
     */
    private static final long PRIORITY_STEP_MS = 400;

    /** The minimum retry time sent to a refused caller, before random spread, in milliseconds. */
    private static final long MIN_RETRY_AFTER_MS = 250;

    private static final long MAX_RETRY_AFTER_MS = 4_000;

    /** The fraction of an endpoint's pause by which callers' retry times are randomly extended. */
    private static final double PAUSE_SPREAD_FRACTION = 0.25;

    /** A pass over the queue ends after this many distinct kinds of request without capacity. */
    private static final int MAX_SKIPPED_PER_PASS = 16;

    /** A pass over the queue ends after this many requests that wait for a preferred engine. */
    private static final int MAX_ENGINE_WAITS_PER_PASS = 32;

    /** The maximum number of endpoints without a permit that the trace of a request names. */
    private static final int MAX_TRACED_ENDPOINTS = 4;

    private final Router mRouter;
    private final RegionGraph mRegions;
    private final Starter mStarter;
    private final RandomGenerator mRandom;
    private final Consumer<Runnable> mDelayedRunner;
    private final Map<ServiceId, ServiceQueue> mQueues = new HashMap<>();
    private ScheduledStarts mScheduledStarts = ScheduledStarts.NONE;

    /**
     * Creates a dispatcher.
     *
     * @param delayedRunner runs an action once after a short delay
     */
    RequestDispatcher(
            Router router,
            RegionGraph regions,
            RandomGenerator random,
            Starter starter,
            Consumer<Runnable> delayedRunner) {
        mDelayedRunner = delayedRunner;
        mRandom = random;
        mRouter = router;
        mRegions = regions;
        mStarter = starter;
    }

    /** Sets what lets the requests of scheduled services wait for their scheduler. */
    void setScheduledStarts(ScheduledStarts scheduledStarts) {
        mScheduledStarts = scheduledStarts;
    }

    /** Starts or queues the request, or lets it wait for the scheduler of its service. */
    void submit(GatewayExchange exchange) {
        if (!mScheduledStarts.submit(exchange)) {
            submitUnscheduled(exchange);
        }
    }

    /**
     * Starts or queues the request; if others of its service already wait, it joins the queue. One
     * that may run nowhere does not wait for them, as the router refuses it.
     */
    void submitUnscheduled(GatewayExchange exchange) {
        ServiceQueue queue = queue(exchange.service());
        if (queue.mWaiting.size() > 0
                && mRegions.regionIds().stream().anyMatch(exchange::mayRunIn)) {
            enqueue(exchange, queue);
            schedulePump(exchange.service());
        } else {
            route(exchange, queue);
        }
    }

    /** Starts or queues the request like {@link #submit}; it precedes those that wait here. */
    void submitFirst(GatewayExchange exchange) {
        if (!mScheduledStarts.submit(exchange)) {
            route(exchange, queue(exchange.service()));
        }
    }

    /** Returns whether an endpoint or another region can accept the request now. */
    boolean canStartNow(GatewayExchange exchange) {
        Route route = choose(exchange, queue(exchange.service()));
        return route instanceof Route.Local || route instanceof Route.Forward;
    }

    private ServiceQueue queue(ServiceId service) {
        return mQueues.computeIfAbsent(service, key -> new ServiceQueue());
    }

    private void route(GatewayExchange exchange, ServiceQueue queue) {
        Route route = choose(exchange, queue);
        if (route instanceof Route.WaitForEngine) {
            exchange.setQueued(true);
            queue.mAwaitingEngine.add(exchange);
        } else if (route instanceof Route.Wait) {
            enqueue(exchange, queue);
        } else {
            start(exchange, route);
        }
    }

    private Route choose(GatewayExchange exchange, ServiceQueue queue) {
        long localWaitMs =
                Math.max(
                        expectedWaitMs(exchange, queue),
                        limitWaitMs(exchange, queue.mWaiting.size()));
        return mRouter.choose(routeRequest(exchange), mRegions, localWaitMs, Clocks.steadyMs());
    }

    private static RouteRequest routeRequest(GatewayExchange exchange) {
        long nowMs = Clocks.steadyMs();
        return new RouteRequest(
                exchange.service(),
                exchange::mayRunIn,
                "",
                exchange.triedEndpoints(),
                Optional.empty(),
                false,
                exchange.forwarded(),
                exchange.mayWaitForEngine(nowMs),
                exchange.head().promptDemand(),
                exchange.deadlineMs() - nowMs);
    }

    /** Returns how long the request waits because of the limits that endpoints state. */
    private long limitWaitMs(GatewayExchange exchange, int ahead) {
        return mRouter.hasLimits()
                ? mRouter.limitWaitMs(routeRequest(exchange), mRegions, ahead, Clocks.steadyMs())
                : 0;
    }

    private void start(GatewayExchange exchange, Route route) {
        traceWithoutPermit(exchange);
        if (route instanceof Route.Local local) {
            mStarter.startLocal(exchange, local.endpoint());
        } else if (route instanceof Route.Forward forward) {
            mStarter.startRemote(exchange, forward.region(), forward.expectedEndpoint());
        } else if (route instanceof Route.Refuse refuse && refuse.retryAfterMs() > 0) {
            long retryAfterMs = extendPauseMs(refuse.retryAfterMs());
            mStarter.giveUp(
                    exchange,
                    refuse.reason() == Route.Reason.ALL_LIMITED
                            ? GatewayRefusal.endpointsLimited(retryAfterMs)
                            : GatewayRefusal.endpointsPausing(retryAfterMs));
        } else {
            mStarter.giveUp(exchange, GatewayRefusal.unavailable(exchange.retryAfterMs()));
        }
    }

    /** Adds to the trace which endpoints the request was kept from by their limit. */
    private void traceWithoutPermit(GatewayExchange exchange) {
        if (!mRouter.hasLimits()) {
            return;
        }
        List<EndpointId> endpoints =
                mRouter.findWithoutPermit(routeRequest(exchange), Clocks.steadyMs());
        if (!endpoints.isEmpty()) {
            exchange.trace(
                    "limited="
                            + endpoints.stream()
                                    .limit(MAX_TRACED_ENDPOINTS)
                                    .map(EndpointId::value)
                                    .collect(Collectors.joining(",")));
        }
    }

    /** Randomly extends a pause, so that callers retry neither before its end nor all at once. */
    private long extendPauseMs(long remainingMs) {
        return (long) (remainingMs * (1 + PAUSE_SPREAD_FRACTION * mRandom.nextDouble()));
    }

    private void enqueue(GatewayExchange exchange, ServiceQueue queue) {
        long nowMs = Clocks.steadyMs();
        long waitMs = expectedWaitMs(exchange, queue);
        long latestStartMs = exchange.latestStartMs();
        if (refuseIfLimited(exchange, queue.mWaiting.size(), nowMs)) {
            return;
        }
        if (nowMs + waitMs > latestStartMs) {
            mStarter.giveUp(exchange, GatewayRefusal.overloaded(retryAfterMs(waitMs)));
            return;
        }
        exchange.setQueued(true);
        queue.mWaitEstimate.recordEnqueued(exchange.queueAccount(), nowMs);
        queue.mWaiting.add(
                exchange.queueAccount(),
                exchange,
                cost(exchange),
                latestStartMs,
                exchange.arrivedMs() + PRIORITY_STEP_MS * exchange.priority());
    }

    /** Refuses a request that cannot start in time because of the limits of the endpoints. */
    private boolean refuseIfLimited(GatewayExchange exchange, int ahead, long nowMs) {
        long waitMs = limitWaitMs(exchange, ahead);
        if (waitMs == 0 || nowMs + waitMs <= exchange.latestStartMs()) {
            return false;
        }
        refuseAsLimited(exchange, waitMs);
        return true;
    }

    private void refuseAsLimited(GatewayExchange exchange, long waitMs) {
        traceWithoutPermit(exchange);
        long retryAfterMs = extendPauseMs(Math.max(MIN_RETRY_AFTER_MS, waitMs));
        mStarter.giveUp(exchange, GatewayRefusal.endpointsLimited(retryAfterMs));
    }

    private static long cost(GatewayExchange exchange) {
        return Math.max(1, exchange.head().tokens().orElse(1L));
    }

    private long retryAfterMs(long waitMs) {
        double spread = 0.75 + 0.5 * mRandom.nextDouble();
        long limitedMs = Math.max(MIN_RETRY_AFTER_MS, Math.min(waitMs, MAX_RETRY_AFTER_MS));
        return (long) (limitedMs * spread);
    }

    private static long expectedWaitMs(GatewayExchange exchange, ServiceQueue queue) {
        return queue.mWaitEstimate.waitMs(
                exchange.queueAccount(), queue.mWaiting, Clocks.steadyMs());
    }

    /**
     * Schedules a pass over a service's waiting requests, if there are any.
     *
     * <p>A pass over a long queue costs far more than one request. Under overload many requests
     * arrive and end during the delay, and one pass covers them all.
     */
    void schedulePump(ServiceId service) {
        ServiceQueue queue = mQueues.get(service);
        if (queue == null || queue.size() == 0 || queue.mPumpScheduled) {
            return;
        }
        queue.mPumpScheduled = true;
        mDelayedRunner.accept(
                () -> {
                    queue.mPumpScheduled = false;
                    pump(service);
                });
    }

    /** Starts waiting requests of a service while there is capacity. */
    private void pump(ServiceId service) {
        ServiceQueue queue = mQueues.get(service);
        retryAwaitingEngine(queue);
        startWaiting(queue);
    }

    /** Routes the requests again that wait for a busy engine; they precede the queue. */
    private void retryAwaitingEngine(ServiceQueue queue) {
        List<GatewayExchange> awaitingEngine = List.copyOf(queue.mAwaitingEngine);
        queue.mAwaitingEngine.clear();
        for (GatewayExchange exchange : awaitingEngine) {
            exchange.setQueued(false);
            if (!exchange.ended()) {
                runStep(exchange, () -> route(exchange, queue));
            }
        }
    }

    /** Runs a step of a request in a pass over several; an exception ends only this request. */
    private void runStep(GatewayExchange exchange, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            mStarter.fail(exchange, e);
        }
    }

    private void startWaiting(ServiceQueue queue) {
        queue.mSkipped.clear();
        queue.mEngineWaits = 0;
        while (true) {
            Optional<GatewayExchange> next = queue.mWaiting.poll(this::decidePoll);
            if (next.isEmpty()) {
                queue.updateWaitEstimate();
                return;
            }
            GatewayExchange exchange = next.get();
            exchange.setQueued(false);
            queue.mWaitEstimate.recordStarted(
                    exchange.queueAccount(), cost(exchange), Clocks.steadyMs());
            if (!exchange.ended()) {
                Route route = queue.mNextRoute;
                runStep(exchange, () -> start(exchange, route));
            }
        }
    }

    private FairQueue.PollDecision decidePoll(GatewayExchange exchange) {
        if (exchange.ended()) {
            return FairQueue.PollDecision.START;
        }
        ServiceQueue queue = queue(exchange.service());
        if (queue.mSkipped.size() >= MAX_SKIPPED_PER_PASS
                || queue.mEngineWaits >= MAX_ENGINE_WAITS_PER_PASS) {
            return FairQueue.PollDecision.STOP;
        }
        if (queue.mSkipped.stream().anyMatch(skipped -> skipped.needsNoMoreThan(exchange))) {
            return FairQueue.PollDecision.SKIP;
        }
        runStep(exchange, () -> queue.mNextRoute = choose(exchange, queue));
        if (exchange.ended()) {
            // Its end has removed it from the queue.
            return FairQueue.PollDecision.SKIP;
        }
        if (queue.mNextRoute instanceof Route.WaitForEngine) {
            queue.mEngineWaits++;
            return FairQueue.PollDecision.SKIP;
        }
        // Requests differ in where they may run, so a waiting request must not block those behind
        // it.
        if (queue.mNextRoute instanceof Route.Wait) {
            queue.mSkipped.add(Skipped.of(exchange));
            return FairQueue.PollDecision.SKIP;
        }
        return FairQueue.PollDecision.START;
    }

    /** Removes an ended request from the queue if it is waiting. */
    void remove(GatewayExchange exchange) {
        if (exchange.queued() && !mScheduledStarts.remove(exchange)) {
            exchange.setQueued(false);
            ServiceQueue queue = queue(exchange.service());
            if (!queue.mAwaitingEngine.remove(exchange)) {
                queue.mWaiting.remove(exchange);
            }
        }
    }

    /** Refuses requests that can no longer start in time and tries to start the others. */
    void tick() {
        long nowMs = Clocks.steadyMs();
        for (Map.Entry<ServiceId, ServiceQueue> entry : Map.copyOf(mQueues).entrySet()) {
            ServiceQueue queue = entry.getValue();
            if (queue.size() == 0) {
                continue;
            }
            List<GatewayExchange> expired = queue.mWaiting.removeExpired(nowMs);
            for (GatewayExchange exchange : expired) {
                exchange.setQueued(false);
                GatewayRefusal refusal =
                        GatewayRefusal.overloaded(retryAfterMs(MIN_RETRY_AFTER_MS));
                runStep(exchange, () -> mStarter.giveUp(exchange, refusal));
            }
            pump(entry.getKey());
            List<GatewayExchange> limited =
                    queue.mWaiting.removeIf(each -> isLimitedBeyondItsStart(each, nowMs));
            for (GatewayExchange exchange : limited) {
                exchange.setQueued(false);
                runStep(exchange, () -> refuseAsLimited(exchange, limitWaitMs(exchange, 0)));
            }
        }
    }

    /** Returns whether no permit is expected in time, even if no other request were waiting. */
    private boolean isLimitedBeyondItsStart(GatewayExchange exchange, long nowMs) {
        long waitMs = limitWaitMs(exchange, 0);
        return waitMs > 0 && nowMs + waitMs > exchange.latestStartMs();
    }

    /** Returns the number of waiting requests. */
    int waiting() {
        return mScheduledStarts.waiting()
                + mQueues.values().stream().mapToInt(ServiceQueue::size).sum();
    }

    /** Lets the requests of scheduled services wait for the decisions of their scheduler. */
    interface ScheduledStarts {

        /** Schedules no service. */
        ScheduledStarts NONE =
                new ScheduledStarts() {
                    @Override
                    public boolean submit(GatewayExchange exchange) {
                        return false;
                    }

                    @Override
                    public boolean remove(GatewayExchange exchange) {
                        return false;
                    }

                    @Override
                    public int waiting() {
                        return 0;
                    }
                };

        /** Lets a request wait; returns false if it is to be routed without a scheduler. */
        boolean submit(GatewayExchange exchange);

        /** Removes an ended request; returns false if it does not wait for a scheduler. */
        boolean remove(GatewayExchange exchange);

        /** Returns the number of waiting requests. */
        int waiting();
    }

    /** Starts attempts and ends requests that cannot be started. */
    interface Starter {

        /** Starts a request at an endpoint of this region. */
        void startLocal(GatewayExchange exchange, EndpointState endpoint);

        /** Forwards a request to another region. */
        void startRemote(
                GatewayExchange exchange,
                RegionId region,
                Optional<EndpointState> expectedEndpoint);

        /**
         * Ends a request that cannot be started. The refusal must not claim that the request has
         * not run if it may have.
         */
        void giveUp(GatewayExchange exchange, GatewayRefusal refusal);

        /** Ends a request of which a step has raised an exception. */
        void fail(GatewayExchange exchange, Throwable exception);
    }

    /**
     * Describes a request that found no capacity, so that requests with the same or greater demand
     * are skipped in this pass.
     *
     * @param allowedRegions the regions where the request may run
     * @param untried whether the request has not been attempted yet and was not forwarded
     * @param memoryTokens the engine memory that the request needs, in tokens
     */
    private record Skipped(AllowedRegions allowedRegions, boolean untried, long memoryTokens) {

        static Skipped of(GatewayExchange exchange) {
            return new Skipped(
                    exchange.allowedRegions(), isUntried(exchange), memoryTokens(exchange));
        }

        boolean needsNoMoreThan(GatewayExchange exchange) {
            return untried
                    && isUntried(exchange)
                    && memoryTokens <= memoryTokens(exchange)
                    && allowedRegions.equals(exchange.allowedRegions());
        }

        private static boolean isUntried(GatewayExchange exchange) {
            return exchange.sends() == 0 && !exchange.forwarded();
        }

        private static long memoryTokens(GatewayExchange exchange) {
            return exchange.head().promptDemand().map(PromptDemand::memoryTokens).orElse(0L);
        }
    }

    /** Holds the waiting requests of one service and the estimate of their wait. */
    private static final class ServiceQueue {

        private final FairQueue<GatewayExchange> mWaiting = new FairQueue<>();
        private final WaitEstimate mWaitEstimate = new WaitEstimate();
        private final List<Skipped> mSkipped = new ArrayList<>();

        /** Requests that wait for a busy engine although other engines have capacity. */
        private final Set<GatewayExchange> mAwaitingEngine = new LinkedHashSet<>();

        private int mEngineWaits;
        private Route mNextRoute;
        private boolean mPumpScheduled;

        void updateWaitEstimate() {
            mWaitEstimate.updateFromQueue(mWaiting, Clocks.steadyMs());
        }

        int size() {
            return mWaiting.size() + mAwaitingEngine.size();
        }
    }
}
