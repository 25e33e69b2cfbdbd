package org.filbertrudder.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.routing.EndpointTable;
import org.filbertrudder.policy.routing.Route;
import org.filbertrudder.policy.routing.RouteRequest;
import org.filbertrudder.policy.routing.Router;

/**
 * Compares the router with random and least-loaded choice in one region of eight engines.
 *
 * <p>Prompts share one of 200 prefixes with the popularity of a Zipf law. An engine keeps the last
 * 24 prefixes; a prompt whose prefix it lacks costs 300 ms more before the first token.
 */
final class RoutingExperiment implements Experiment {

    private static final int ENGINES = 8;
    private static final int SLOTS = 16;
    private static final int PREFIXES = 200;
    private static final int CACHE_SIZE = 24;
    private static final long COLD_MS = 300;
    private static final long WARM_MS = 30;
    private static final long DECODE_MS = 1_000;
    private static final int REQUESTS = 60_000;
    private static final double[] LOADS = {0.5, 0.8, 0.95};

    @Override
    public Table run(long seed) {
        Table table =
                new Table(
                        "load",
                        "choice",
                        "cache_hits",
                        "first_token_p50_ms",
                        "first_token_p99_ms",
                        "most_by_least_requests");
        for (double load : LOADS) {
            for (Choice choice : Choice.values()) {
                new Run(seed, load, choice).measure(table);
            }
        }
        return table;
    }

    private enum Choice {
        RANDOM,
        LEAST_LOADED,
        ROUTER
    }

    /** Runs one load with one way to choose. */
    private static final class Run {

        private final Random mRandom;
        private final double mLoad;
        private final Choice mChoice;
        private final Configuration mConfiguration = LargeConfiguration.of(1, ENGINES, 1);
        private final EndpointTable mTable = new EndpointTable();
        private final Router mRouter;
        private final Map<EndpointState, Engine> mEngines = new HashMap<>();
        private final PriorityQueue<End> mEnds = new PriorityQueue<>();
        private final Histogram mFirstTokenMs = new Histogram(3_600_000, 3);
        private long mHits;

        Run(long seed, double load, Choice choice) {
            mRandom = new Random(seed);
            mLoad = load;
            mChoice = choice;
            mTable.setEndpoints(mConfiguration.all(Endpoint.class), 0);
            mRouter = new Router(LargeConfiguration.region(0), mTable, region -> false);
            endpoints().forEach(state -> mEngines.put(state, new Engine()));
        }

        private List<EndpointState> endpoints() {
            return mTable.of(LargeConfiguration.model(), LargeConfiguration.region(0));
        }

        void measure(Table table) {
            double meanMs = DECODE_MS + COLD_MS / 2.0;
            double perMs = mLoad * ENGINES * SLOTS / meanMs;
            double nowMs = 1_000_000;
            for (int i = 0; i < REQUESTS; i++) {
                nowMs += -Math.log(1 - mRandom.nextDouble()) / perMs;
                finishUntil((long) nowMs);
                arrive((long) nowMs, prefix());
            }
            long most = mEngines.values().stream().mapToLong(e -> e.mServed).max().orElse(0);
            long least = mEngines.values().stream().mapToLong(e -> e.mServed).min().orElse(0);
            table.add(
                    mLoad,
                    mChoice,
                    (double) mHits / REQUESTS,
                    mFirstTokenMs.getValueAtPercentile(50),
                    mFirstTokenMs.getValueAtPercentile(99),
                    (double) most / Math.max(1, least));
        }

        private int prefix() {
            double rank = Math.exp(mRandom.nextDouble() * Math.log(PREFIXES));
            return (int) rank - 1;
        }

        private void finishUntil(long nowMs) {
            while (!mEnds.isEmpty() && mEnds.peek().atMs() <= nowMs) {
                mEnds.poll().endpoint().succeeded();
            }
        }

        /** Starts a request; one that no engine has room for waits for the next slot to end. */
        private void arrive(long nowMs, int prefix) {
            long startMs = nowMs;
            EndpointState chosen = choose(prefix, startMs);
            while (chosen == null) {
                End next = mEnds.poll();
                startMs = Math.max(startMs, next.atMs());
                next.endpoint().succeeded();
                chosen = choose(prefix, startMs);
            }
            chosen.started(false);
            boolean hit = mEngines.get(chosen).use(prefix);
            mHits += hit ? 1 : 0;
            long prefillMs = hit ? WARM_MS : COLD_MS;
            mFirstTokenMs.recordValue(startMs - nowMs + prefillMs);
            long decodeMs = DECODE_MS / 2 + mRandom.nextInt((int) DECODE_MS);
            mEnds.add(new End(startMs + prefillMs + decodeMs, chosen));
        }

        private EndpointState choose(int prefix, long nowMs) {
            if (mChoice == Choice.ROUTER) {
                return byRouter("prefix-" + prefix, nowMs);
            }
            List<EndpointState> free =
                    endpoints().stream().filter(state -> state.hasRoom(nowMs)).toList();
            if (free.isEmpty()) {
                return null;
            }
            if (mChoice == Choice.LEAST_LOADED) {
                return byRouter("", nowMs);
            }
            return free.get(mRandom.nextInt(free.size()));
        }

        private EndpointState byRouter(String affinityKey, long nowMs) {
            RouteRequest request =
                    new RouteRequest(
                            LargeConfiguration.model(),
                            region -> true,
                            affinityKey,
                            Set.of(),
                            false,
                            false);
            Route route = mRouter.choose(request, mConfiguration, 0, nowMs);
            return route instanceof Route.Local local ? local.endpoint() : null;
        }
    }

    /** Holds the prefixes that an engine has cached, least recently used first. */
    private static final class Engine {

        private final LinkedHashMap<Integer, Boolean> mPrefixes =
                new LinkedHashMap<>(CACHE_SIZE, 0.75f, true);
        private long mServed;

        boolean use(int prefix) {
            mServed++;
            boolean hit = mPrefixes.put(prefix, true) != null;
            if (mPrefixes.size() > CACHE_SIZE) {
                mPrefixes.remove(new ArrayList<>(mPrefixes.keySet()).get(0));
            }
            return hit;
        }
    }

    private record End(long atMs, EndpointState endpoint) implements Comparable<End> {

        @Override
        public int compareTo(End other) {
            return Long.compare(atMs, other.atMs);
        }
    }
}
