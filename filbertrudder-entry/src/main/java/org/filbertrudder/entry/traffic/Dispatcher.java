package org.filbertrudder.entry.traffic;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.filbertrudder.entry.control.ControlSnapshot;
import org.filbertrudder.model.Account;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.policy.queueing.FairQueue;
import org.filbertrudder.policy.queueing.TokenThroughput;
import org.filbertrudder.policy.retry.RequestCopyTracker;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.routing.Route;
import org.filbertrudder.policy.routing.RouteRequest;
import org.filbertrudder.policy.routing.Router;

/** Routes requests to endpoints or other regions, and queues those that have to wait. */
final class Dispatcher {

    private final TrafficContext mContext;
    private final Router mRouter;
    private final ExchangeFinisher mFinisher;
    private final RequestCopyTracker mCopyTracker;
    private final AttemptStarter mAttemptStarter;
    private final RequestAdmission mAdmission;
    private final Map<ServiceId, ServiceQueue> mQueues = new HashMap<>();

    Dispatcher(
            TrafficContext context,
            Router router,
            ExchangeFinisher finisher,
            RequestCopyTracker copyTracker,
            AttemptStarter attemptStarter,
            RequestAdmission admission) {
        mCopyTracker = copyTracker;
        mContext = context;
        mRouter = router;
        mFinisher = finisher;
        mAttemptStarter = attemptStarter;
        mAdmission = admission;
    }

    /** Routes the request, or queues it behind requests that already wait for the service. */
    void submit(Exchange exchange) {
        ServiceQueue queue = queue(exchange);
        if (queue.mRequests.size() > 0 && !exchange.exclusive()) {
            enqueue(exchange, queue);
            startQueued(exchange.request().service().id());
        } else {
            route(exchange);
        }
    }

    private ServiceQueue queue(Exchange exchange) {
        return mQueues.computeIfAbsent(
                exchange.request().service().id(), key -> new ServiceQueue());
    }

    /** Starts the request on the chosen route, or queues it if it has to wait. */
    private void route(Exchange exchange) {
        Route route = chooseRoute(exchange, expectedWaitMs(exchange));
        if (route instanceof Route.Wait) {
            enqueue(exchange, queue(exchange));
        } else {
            startOnRoute(exchange, route);
        }
    }

    private Route chooseRoute(Exchange exchange, long localWaitMs) {
        Configuration configuration = mContext.snapshot().configuration();
        RouteRequest request =
                new RouteRequest(
                        exchange.request().service().id(),
                        region -> mayRunIn(exchange, configuration, region),
                        exchange.request().affinityKey(),
                        exchange.triedEndpoints(),
                        requiredEndpoint(exchange),
                        exchange.exclusive(),
                        exchange.request().forwarded());
        return mRouter.choose(request, configuration, localWaitMs, mContext.nowMs());
    }

    private boolean mustRunInOtherRegion(Exchange exchange) {
        ControlSnapshot snapshot = mContext.snapshot();
        return !mayRunIn(exchange, snapshot.configuration(), snapshot.self().region());
    }

    private Optional<EndpointId> requiredEndpoint(Exchange exchange) {
        return exchange.request().isModelRequest()
                ? mCopyTracker.onlyEndpoint(exchange.digest())
                : Optional.empty();
    }

    private static boolean mayRunIn(
            Exchange exchange, Configuration configuration, RegionId region) {
        if (exchange.triedRegions().contains(region)) {
            return false;
        }
        if (exchange.request().key() == null) {
            return true;
        }
        return configuration
                .account(exchange.request().account())
                .map((Account account) -> account.allows(region))
                .orElse(false);
    }

    private void startOnRoute(Exchange exchange, Route route) {
        if (!exchange.mayHaveRun() && !mAdmission.mayStart()) {
            mFinisher.refuse(exchange, Refusal.shuttingDown());
        } else if (isKnownToCrash(exchange)) {
            mFinisher.refuse(exchange, Refusal.requestCrashesEndpoints());
        } else if (isSuspectedOfCrash(exchange)) {
            mAttemptStarter.deferForCrashReports(exchange);
        } else if (route instanceof Route.Local local) {
            mAttemptStarter.startLocal(exchange, local.endpoint());
        } else if (route instanceof Route.Forward forward) {
            mAttemptStarter.startRemote(exchange, forward.region());
        } else if (route instanceof Route.Refuse refuse) {
            mFinisher.refuse(exchange, refusalFor(exchange, refuse.reason()));
        }
    }

    private boolean isKnownToCrash(Exchange exchange) {
        return exchange.request().isModelRequest() && mCopyTracker.isCrashCause(exchange.digest());
    }

    /**
     * Returns whether a copy of the request was running on an endpoint that crashed after this copy
     * was last checked.
     */
    private boolean isSuspectedOfCrash(Exchange exchange) {
        return exchange.request().isModelRequest()
                && !exchange.exclusive()
                && mCopyTracker.isSuspect(exchange.digest());
    }

    private static Refusal refusalFor(Exchange exchange, Route.Reason reason) {
        if (exchange.mayHaveRun() && !exchange.request().retryable()) {
            return Refusal.outcomeUnknown();
        }
        if (exchange.mayHaveRun()) {
            return Refusal.responseIncomplete();
        }
        return reason == Route.Reason.NO_ENDPOINT_ALLOWED
                ? Refusal.noRegionAllowed()
                : Refusal.noRegionReachable();
    }

    private void enqueue(Exchange exchange, ServiceQueue queue) {
        long nowMs = mContext.nowMs();
        long maxWaitMs = mContext.snapshot().configuration().rules().maxQueueWaitMs();
        long deadlineMs = Math.min(nowMs + maxWaitMs, exchange.request().deadlineMs());
        long waitMs = expectedWaitMs(exchange);
        if (nowMs + waitMs > deadlineMs) {
            refuseOverloaded(exchange, waitMs);
            return;
        }
        exchange.setQueued(true);
        queue.mRequests.add(
                exchange.request().account(),
                exchange,
                Math.max(1, exchange.request().maxTokens()),
                deadlineMs);
    }

    private void refuseOverloaded(Exchange exchange, long waitMs) {
        mFinisher.refuse(
                exchange,
                exchange.mayHaveRun() ? Refusal.responseIncomplete() : Refusal.overloaded(waitMs));
    }

    private long expectedWaitMs(Exchange exchange) {
        ServiceQueue queue = queue(exchange);
        if (queue.mRequests.size() == 0) {
            return 0;
        }
        return queue.mThroughput.waitMs(queue.mRequests.tokensAhead(exchange.request().account()));
    }

    /** Starts queued requests of a service as long as there is capacity. */
    void startQueued(ServiceId service) {
        ServiceQueue queue = mQueues.get(service);
        if (queue == null || queue.mStarting) {
            return;
        }
        queue.mStarting = true;
        try {
            startQueuedUntilFull(queue);
        } finally {
            queue.mStarting = false;
        }
    }

    /**
     * Starts queued requests; a request that needs a specific endpoint or region does not block
     * those behind it.
     */
    private void startQueuedUntilFull(ServiceQueue queue) {
        while (true) {
            Optional<Exchange> next = queue.mRequests.poll(this::pollDecisionFor);
            if (next.isEmpty()) {
                return;
            }
            Exchange exchange = next.get();
            exchange.setQueued(false);
            if (!exchange.ended()) {
                startOnRoute(exchange, chooseRoute(exchange, 0));
            }
        }
    }

    private FairQueue.PollDecision pollDecisionFor(Exchange exchange) {
        if (exchange.ended() || !(chooseRoute(exchange, 0) instanceof Route.Wait)) {
            return FairQueue.PollDecision.START;
        }
        boolean needsSpecificRoute =
                exchange.exclusive()
                        || !exchange.triedEndpoints().isEmpty()
                        || requiredEndpoint(exchange).isPresent()
                        || mustRunInOtherRegion(exchange);
        return needsSpecificRoute ? FairQueue.PollDecision.SKIP : FairQueue.PollDecision.STOP;
    }

    /** Records served tokens, from which the waiting time of queued requests is estimated. */
    void recordServed(ServiceId service, long tokens) {
        ServiceQueue queue = mQueues.computeIfAbsent(service, key -> new ServiceQueue());
        queue.mThroughput.recordServed(tokens, mContext.nowMs());
        startQueued(service);
    }

    /** Removes an exchange that has ended from its queue. */
    void remove(Exchange exchange) {
        if (exchange.queued()) {
            exchange.setQueued(false);
            queue(exchange).mRequests.remove(exchange);
        }
    }

    /** Refuses requests that have waited too long and tries to start the other queued ones. */
    void tick() {
        long nowMs = mContext.nowMs();
        for (Map.Entry<ServiceId, ServiceQueue> entry : Map.copyOf(mQueues).entrySet()) {
            List<Exchange> expired = entry.getValue().mRequests.removeExpired(nowMs);
            expired.forEach(exchange -> refuseOverloaded(exchange, 1_000));
            startQueued(entry.getKey());
        }
    }

    /** Starts the attempts of a routed request. */
    interface AttemptStarter {

        /** Starts a request on an endpoint in this region. */
        void startLocal(Exchange exchange, EndpointState endpoint);

        /**
         * Waits for crash reports of other instances, then refuses the request or submits it as an
         * exclusive one.
         */
        void deferForCrashReports(Exchange exchange);

        /** Forwards a request to another region. */
        void startRemote(Exchange exchange, RegionId region);
    }

    /** Holds the queued requests of one service and its token throughput. */
    private static final class ServiceQueue {

        private final FairQueue<Exchange> mRequests = new FairQueue<>();
        private final TokenThroughput mThroughput = new TokenThroughput();
        private boolean mStarting;
    }
}
