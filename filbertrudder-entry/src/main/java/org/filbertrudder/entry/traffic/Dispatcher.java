package org.filbertrudder.entry.traffic;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.filbertrudder.entry.control.Snapshot;
import org.filbertrudder.model.Account;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.policy.queueing.FairQueue;
import org.filbertrudder.policy.queueing.ServedRate;
import org.filbertrudder.policy.retry.UnprovenRequests;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.routing.Route;
import org.filbertrudder.policy.routing.RouteRequest;
import org.filbertrudder.policy.routing.Router;

/** Starts requests on endpoints or in other regions, and keeps those that have to wait. */
final class Dispatcher {

    private final TrafficContext mContext;
    private final Router mRouter;
    private final Finisher mFinisher;
    private final UnprovenRequests mUnproven;
    private final Starter mStarter;
    private final Map<ServiceId, ServiceQueue> mQueues = new HashMap<>();

    Dispatcher(
            TrafficContext context,
            Router router,
            Finisher finisher,
            UnprovenRequests unproven,
            Starter starter) {
        mUnproven = unproven;
        mContext = context;
        mRouter = router;
        mFinisher = finisher;
        mStarter = starter;
    }

    /** Runs the request now or queues it; requests that wait already go first. */
    void submit(Exchange exchange) {
        ServiceQueue queue = queue(exchange);
        if (queue.mWaiting.size() > 0 && !exchange.alone()) {
            enqueue(exchange, queue);
            pump(exchange.incoming().service().id());
        } else {
            route(exchange);
        }
    }

    private ServiceQueue queue(Exchange exchange) {
        return mQueues.computeIfAbsent(
                exchange.incoming().service().id(), key -> new ServiceQueue());
    }

    /** Decides where the request runs; one that must wait is queued. */
    private void route(Exchange exchange) {
        Route route = choose(exchange, expectedWaitMs(exchange));
        if (route instanceof Route.Wait) {
            enqueue(exchange, queue(exchange));
        } else {
            start(exchange, route);
        }
    }

    private Route choose(Exchange exchange, long localWaitMs) {
        Configuration configuration = mContext.snapshot().configuration();
        RouteRequest request =
                new RouteRequest(
                        exchange.incoming().service().id(),
                        region -> mayRunIn(exchange, configuration, region),
                        exchange.incoming().affinityKey(),
                        exchange.tried(),
                        only(exchange),
                        exchange.alone(),
                        exchange.incoming().forwarded());
        return mRouter.choose(request, configuration, localWaitMs, mContext.nowMs());
    }

    private boolean mustLeave(Exchange exchange) {
        Snapshot snapshot = mContext.snapshot();
        return !mayRunIn(exchange, snapshot.configuration(), snapshot.self().region());
    }

    private Optional<EndpointId> only(Exchange exchange) {
        return exchange.incoming().isModel()
                ? mUnproven.onlyEndpoint(exchange.digest())
                : Optional.empty();
    }

    private static boolean mayRunIn(
            Exchange exchange, Configuration configuration, RegionId region) {
        if (exchange.triedRegions().contains(region)) {
            return false;
        }
        if (exchange.incoming().key() == null) {
            return true;
        }
        return configuration
                .account(exchange.incoming().account())
                .map((Account account) -> account.allows(region))
                .orElse(false);
    }

    private void start(Exchange exchange, Route route) {
        if (isConvicted(exchange)) {
            mFinisher.refuse(exchange, Refusal.crashing());
        } else if (isSuspected(exchange)) {
            mStarter.hold(exchange);
        } else if (route instanceof Route.Local local) {
            mStarter.startLocal(exchange, local.endpoint());
        } else if (route instanceof Route.Away away) {
            mStarter.startAway(exchange, away.region());
        } else if (route instanceof Route.Refuse refuse) {
            mFinisher.refuse(exchange, refusal(exchange, refuse.reason()));
        }
    }

    private boolean isConvicted(Exchange exchange) {
        return exchange.incoming().isModel() && mUnproven.isConvicted(exchange.digest());
    }

    /** Returns whether a copy of the request ran at a crash after this one was checked. */
    private boolean isSuspected(Exchange exchange) {
        return exchange.incoming().isModel()
                && !exchange.alone()
                && mUnproven.isSuspected(exchange.digest());
    }

    private static Refusal refusal(Exchange exchange, Route.Reason reason) {
        if (exchange.maybeRan() && !exchange.incoming().repeatable()) {
            return Refusal.broken();
        }
        if (exchange.maybeRan()) {
            return Refusal.incomplete();
        }
        return reason == Route.Reason.NO_ENDPOINT_ALLOWED
                ? Refusal.noEndpointAllowed()
                : Refusal.regionUnavailable();
    }

    private void enqueue(Exchange exchange, ServiceQueue queue) {
        long nowMs = mContext.nowMs();
        long maxWaitMs = mContext.snapshot().configuration().rules().maxQueueWaitMs();
        long deadlineMs = Math.min(nowMs + maxWaitMs, exchange.incoming().deadlineMs());
        long waitMs = expectedWaitMs(exchange);
        if (nowMs + waitMs > deadlineMs) {
            giveUp(exchange, waitMs);
            return;
        }
        exchange.setQueued(true);
        queue.mWaiting.add(
                exchange.incoming().account(),
                exchange,
                Math.max(1, exchange.incoming().maxTokens()),
                deadlineMs);
    }

    private void giveUp(Exchange exchange, long waitMs) {
        mFinisher.refuse(
                exchange, exchange.maybeRan() ? Refusal.incomplete() : Refusal.overloaded(waitMs));
    }

    private long expectedWaitMs(Exchange exchange) {
        ServiceQueue queue = queue(exchange);
        if (queue.mWaiting.size() == 0) {
            return 0;
        }
        return queue.mServed.waitMs(queue.mWaiting.tokensAhead(exchange.incoming().account()));
    }

    /** Starts waiting requests of a service as long as there is room. */
    void pump(ServiceId service) {
        ServiceQueue queue = mQueues.get(service);
        if (queue == null || queue.mPumping) {
            return;
        }
        queue.mPumping = true;
        try {
            startWaiting(queue);
        } finally {
            queue.mPumping = false;
        }
    }

    /** Starts what there is room for; those that need a certain endpoint hold up nobody else. */
    private void startWaiting(ServiceQueue queue) {
        while (true) {
            Optional<Exchange> next = queue.mWaiting.poll(this::judge);
            if (next.isEmpty()) {
                return;
            }
            Exchange exchange = next.get();
            exchange.setQueued(false);
            if (!exchange.ended()) {
                start(exchange, choose(exchange, 0));
            }
        }
    }

    private FairQueue.Turn judge(Exchange exchange) {
        if (exchange.ended() || !(choose(exchange, 0) instanceof Route.Wait)) {
            return FairQueue.Turn.START;
        }
        boolean needsCertainEndpoint =
                exchange.alone()
                        || !exchange.tried().isEmpty()
                        || only(exchange).isPresent()
                        || mustLeave(exchange);
        return needsCertainEndpoint ? FairQueue.Turn.SKIP : FairQueue.Turn.STOP;
    }

    /** Notes served tokens, from which the time that waiting requests need is estimated. */
    void served(ServiceId service, long tokens) {
        ServiceQueue queue = mQueues.computeIfAbsent(service, key -> new ServiceQueue());
        queue.mServed.note(tokens, mContext.nowMs());
        pump(service);
    }

    /** Removes a request whose caller has left. */
    void remove(Exchange exchange) {
        if (exchange.queued()) {
            exchange.setQueued(false);
            queue(exchange).mWaiting.remove(exchange);
        }
    }

    /** Gives up requests that have waited too long and tries to start the others. */
    void tick() {
        long nowMs = mContext.nowMs();
        for (Map.Entry<ServiceId, ServiceQueue> entry : Map.copyOf(mQueues).entrySet()) {
            List<Exchange> expired = entry.getValue().mWaiting.removeExpired(nowMs);
            expired.forEach(exchange -> giveUp(exchange, 1_000));
            pump(entry.getKey());
        }
    }

    /** Starts attempts. */
    interface Starter {

        /** Starts a request on an endpoint of this region. */
        void startLocal(Exchange exchange, EndpointState endpoint);

        /** Checks a request again once reports of other crashes have had time to arrive. */
        void hold(Exchange exchange);

        /** Forwards a request to another region. */
        void startAway(Exchange exchange, RegionId region);
    }

    /** Holds the waiting requests of one service and the speed at which it serves. */
    private static final class ServiceQueue {

        private final FairQueue<Exchange> mWaiting = new FairQueue<>();
        private final ServedRate mServed = new ServedRate();
        private boolean mPumping;
    }
}
