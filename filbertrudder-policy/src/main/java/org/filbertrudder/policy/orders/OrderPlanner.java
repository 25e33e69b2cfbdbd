package org.filbertrudder.policy.orders;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.EngineSetup;

/**
 * Selects the engines of one service in one region that are sent an order next.
 *
 * <p>An order is repeated until the engine reports the ordered setup, so that every engine ends up
 * with the newest accepted configuration, whatever an earlier sender of orders has sent. At most a
 * quarter of the engines, but at least one, are unavailable at the same time.
 */
public final class OrderPlanner {

    /** One of this many engines may be unavailable. */
    private static final int ENGINES_PER_UNAVAILABLE = 4;

    /** Age at which a report no longer shows that the engine is available. */
    private static final long REPORT_LIFETIME_MS = 5_000;

    /** Time after which an order is sent again if the report does not show its setup. */
    private static final long REPEAT_MS = 3_000;

    private final WeightFetchLimiter mFetchLimiter;
    private final Map<EndpointId, SentOrder> mLastOrders = new HashMap<>();

    /** Creates a planner that limits the orders that make engines fetch weights. */
    public OrderPlanner(WeightFetchLimiter fetchLimiter) {
        mFetchLimiter = fetchLimiter;
    }

    /** Returns the engines to send an order to now. */
    public List<EndpointId> plan(List<Engine> engines, long nowMs) {
        int maxUnavailable = Math.max(1, engines.size() / ENGINES_PER_UNAVAILABLE);
        long unavailable = engines.stream().filter(engine -> isUnavailable(engine, nowMs)).count();
        List<EndpointId> orders = new ArrayList<>();
        for (Engine engine : engines) {
            if (!needsOrder(engine, nowMs)) {
                continue;
            }
            boolean alreadyUnavailable = isUnavailable(engine, nowMs);
            boolean withinLimit = alreadyUnavailable || unavailable < maxUnavailable;
            if (withinLimit && (alreadyUnavailable || tryAcquireFetchIfNeeded(engine, nowMs))) {
                mLastOrders.put(engine.id(), new SentOrder(engine.desiredSetup(), nowMs));
                orders.add(engine.id());
                unavailable += alreadyUnavailable ? 0 : 1;
            }
        }
        return orders;
    }

    /** Clears the sent orders and restarts the fetch interval at the start of a new lease. */
    public void reset(long nowMs) {
        mLastOrders.clear();
        mFetchLimiter.reset(nowMs);
    }

    private boolean needsOrder(Engine engine, long nowMs) {
        if (!hasFreshReport(engine, nowMs)) {
            return false;
        }
        SentOrder lastOrder = mLastOrders.get(engine.id());
        boolean sentRecently =
                lastOrder != null
                        && lastOrder.setup().equals(engine.desiredSetup())
                        && nowMs - lastOrder.sentMs() < REPEAT_MS;
        boolean reportMatches = engine.report().loaded().equals(engine.desiredSetup());
        return !reportMatches && !sentRecently && !engine.report().switching();
    }

    /**
     * Returns whether the engine counts as unavailable: its report is missing or stale, it is
     * switching, or it has not yet loaded the setup of a recent order.
     */
    private boolean isUnavailable(Engine engine, long nowMs) {
        SentOrder lastOrder = mLastOrders.get(engine.id());
        boolean orderPending =
                lastOrder != null
                        && nowMs - lastOrder.sentMs() < REPEAT_MS
                        && !engine.loaded().equals(lastOrder.setup());
        return !hasFreshReport(engine, nowMs) || engine.report().switching() || orderPending;
    }

    private static boolean hasFreshReport(Engine engine, long nowMs) {
        return engine.report() != null && nowMs - engine.report().receivedMs() < REPORT_LIFETIME_MS;
    }

    private boolean tryAcquireFetchIfNeeded(Engine engine, long nowMs) {
        boolean fetchesWeights = !engine.loaded().version().equals(engine.desiredSetup().version());
        return !fetchesWeights || mFetchLimiter.tryAcquire(nowMs);
    }

    private record SentOrder(EngineSetup setup, long sentMs) {}

    /**
     * Engine as seen by the planner.
     *
     * @param id the endpoint of the engine
     * @param desiredSetup the setup in the newest accepted configuration
     * @param report the newest report of the engine; null if there is none
     */
    public record Engine(EndpointId id, EngineSetup desiredSetup, EngineReport report) {

        private EngineSetup loaded() {
            return report.loaded();
        }
    }
}
