package org.filbertrudder.policy.orders;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.EngineSetup;

/**
 * Decides which engines of one service in one region get their order next.
 *
 * <p>An order is repeated until the engine's report agrees with it, so that the last word is that
 * of the newest accepted configuration, whatever an earlier giver may have sent. Only a quarter of
 * the engines, but at least one, is away at the same time.
 */
public final class OrderPlanner {

    private static final int ENGINES_PER_AWAY = 4;
    private static final long REPORT_LIFETIME_MS = 5_000;
    private static final long REPEAT_MS = 3_000;

    private final WeightPacer mPacer;
    private final Map<EndpointId, Sent> mSent = new HashMap<>();

    /** Creates a planner that keeps to the pace of the weight store. */
    public OrderPlanner(WeightPacer pacer) {
        mPacer = pacer;
    }

    /** Returns the engines that get an order now. */
    public List<EndpointId> plan(List<Engine> engines, long nowMs) {
        int mayBeAway = Math.max(1, engines.size() / ENGINES_PER_AWAY);
        long away = engines.stream().filter(engine -> isAway(engine, nowMs)).count();
        List<EndpointId> orders = new ArrayList<>();
        for (Engine engine : engines) {
            if (!needsOrder(engine, nowMs)) {
                continue;
            }
            boolean repeated = isAway(engine, nowMs);
            boolean room = repeated || away < mayBeAway;
            if (room && (repeated || withinPace(engine, nowMs))) {
                mSent.put(engine.id(), new Sent(engine.wanted(), nowMs));
                orders.add(engine.id());
                away += repeated ? 0 : 1;
            }
        }
        return orders;
    }

    /** Forgets what was sent, as a new lease begins. */
    public void restart(long nowMs) {
        mSent.clear();
        mPacer.restart(nowMs);
    }

    private boolean needsOrder(Engine engine, long nowMs) {
        if (!isFresh(engine, nowMs)) {
            return false;
        }
        Sent sent = mSent.get(engine.id());
        boolean sentLately =
                sent != null
                        && sent.setup().equals(engine.wanted())
                        && nowMs - sent.atMs() < REPEAT_MS;
        boolean agrees = engine.report().loaded().equals(engine.wanted());
        return !agrees && !sentLately && !engine.report().switching();
    }

    /** Returns whether the engine serves nothing, or may soon stop to because of an order. */
    private boolean isAway(Engine engine, long nowMs) {
        Sent sent = mSent.get(engine.id());
        boolean ordered =
                sent != null
                        && nowMs - sent.atMs() < REPEAT_MS
                        && !engine.loaded().equals(sent.setup());
        return !isFresh(engine, nowMs) || engine.report().switching() || ordered;
    }

    private static boolean isFresh(Engine engine, long nowMs) {
        return engine.report() != null && nowMs - engine.report().receivedMs() < REPORT_LIFETIME_MS;
    }

    private boolean withinPace(Engine engine, long nowMs) {
        boolean fetchesWeights = !engine.loaded().version().equals(engine.wanted().version());
        return !fetchesWeights || mPacer.tryTake(nowMs);
    }

    private record Sent(EngineSetup setup, long atMs) {}

    /**
     * Shows an engine to the planner.
     *
     * @param id the endpoint
     * @param wanted what the newest accepted configuration wants it to load
     * @param report its newest report; null if there is none
     */
    public record Engine(EndpointId id, EngineSetup wanted, EngineReport report) {

        private EngineSetup loaded() {
            return report.loaded();
        }
    }
}
