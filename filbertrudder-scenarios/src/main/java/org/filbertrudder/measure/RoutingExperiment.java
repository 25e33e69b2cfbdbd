package org.filbertrudder.measure;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
 * 24 prefixes; a prompt whose prefix it lacks costs 300 ms more before the first token. Cache
 * events come a second late and every seventh is lost. Halfway all caches are emptied, as if the
 * region had taken over the traffic of another; the requests right after that are shown on rows of
 * their own.
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
    private static final int COLD_REQUESTS = 3_000;
    private static final long EVENT_LAG_MS = 1_000;
    private static final int LOST_EVENT = 7;
    private static final double[] LOADS = {0.5, 0.8, 0.95};

    @Override
    public Table run(long seed) {
        Table table =
                new Table(
                        "load",
                        "choice",
                        "caches",
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
        AFFINITY,
        AFFINITY_AND_EVENTS
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
        private final PriorityQueue<CacheEvent> mEvents = new PriorityQueue<>();
        private Histogram mFirstTokenMs = new Histogram(3_600_000, 3);
        private long mHits;
        private long mEventNumber;

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
                if (i == REQUESTS / 2) {
                    report(table, "WARM", REQUESTS / 2);
                    mEngines.values().forEach(engine -> engine.mPrefixes.clear());
                } else if (i == REQUESTS / 2 + COLD_REQUESTS) {
                    report(table, "EMPTIED", COLD_REQUESTS);
                }
            }
        }

        /** Adds a row and starts to count anew. */
        private void report(Table table, String caches, int requests) {
            long most = mEngines.values().stream().mapToLong(e -> e.mServed).max().orElse(0);
            long least = mEngines.values().stream().mapToLong(e -> e.mServed).min().orElse(0);
            table.add(
                    mLoad,
                    mChoice,
                    caches,
                    (double) mHits / requests,
                    mFirstTokenMs.getValueAtPercentile(50),
                    mFirstTokenMs.getValueAtPercentile(99),
                    (double) most / Math.max(1, least));
            mHits = 0;
            mFirstTokenMs = new Histogram(3_600_000, 3);
            mEngines.values().forEach(engine -> engine.mServed = 0);
        }

        private int prefix() {
            double rank = Math.exp(mRandom.nextDouble() * Math.log(PREFIXES));
            return (int) rank - 1;
        }

        private void finishUntil(long nowMs) {
            while (!mEnds.isEmpty() && mEnds.peek().atMs() <= nowMs) {
                mEnds.poll().endpoint().succeeded();
            }
            while (!mEvents.isEmpty() && mEvents.peek().atMs() <= nowMs) {
                deliver(mEvents.poll());
            }
        }

        private static void deliver(CacheEvent event) {
            if (event.stored()) {
                event.endpoint().prefixStored(name(event.prefix()), event.atMs());
            } else {
                event.endpoint().prefixEvicted(name(event.prefix()));
            }
        }

        private static String name(int prefix) {
            return "prefix-" + prefix;
        }

        /** Sends a cache event that arrives late, or not at all. */
        private void publish(EndpointState endpoint, int prefix, boolean stored, long nowMs) {
            mEventNumber++;
            if (mEventNumber % LOST_EVENT != 0) {
                mEvents.add(new CacheEvent(nowMs + EVENT_LAG_MS, endpoint, prefix, stored));
            }
        }

        /** Uses a prefix at an engine; returns whether it was cached. */
        private boolean use(EndpointState endpoint, int prefix, long nowMs) {
            Engine engine = mEngines.get(endpoint);
            boolean hit = engine.use(prefix);
            if (mChoice == Choice.AFFINITY_AND_EVENTS) {
                endpoint.prefixStored(name(prefix), nowMs);
                if (!hit) {
                    publish(endpoint, prefix, true, nowMs);
                }
                engine.evict().ifPresent(old -> publish(endpoint, old, false, nowMs));
            } else {
                engine.evict();
            }
            return hit;
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
            boolean hit = use(chosen, prefix, startMs);
            mHits += hit ? 1 : 0;
            long prefillMs = hit ? WARM_MS : COLD_MS;
            mFirstTokenMs.recordValue(startMs - nowMs + prefillMs);
            long decodeMs = DECODE_MS / 2 + mRandom.nextInt((int) DECODE_MS);
            mEnds.add(new End(startMs + prefillMs + decodeMs, chosen));
        }

        private EndpointState choose(int prefix, long nowMs) {
            if (mChoice == Choice.AFFINITY || mChoice == Choice.AFFINITY_AND_EVENTS) {
                return byRouter(name(prefix), nowMs);
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
                            Optional.empty(),
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
            return mPrefixes.put(prefix, true) != null;
        }

        /** Removes the prefix used least recently if there is one too many. */
        Optional<Integer> evict() {
            if (mPrefixes.size() <= CACHE_SIZE) {
                return Optional.empty();
            }
            int oldest = mPrefixes.keySet().iterator().next();
            mPrefixes.remove(oldest);
            return Optional.of(oldest);
        }
    }

    private record CacheEvent(long atMs, EndpointState endpoint, int prefix, boolean stored)
            implements Comparable<CacheEvent> {

        @Override
        public int compareTo(CacheEvent other) {
            return Long.compare(atMs, other.atMs);
        }
    }

    private record End(long atMs, EndpointState endpoint) implements Comparable<End> {

        @Override
        public int compareTo(End other) {
            return Long.compare(atMs, other.atMs);
        }
    }
}
