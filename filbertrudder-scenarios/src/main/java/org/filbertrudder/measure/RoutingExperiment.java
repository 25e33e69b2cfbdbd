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
 * Compares the router with random and least-loaded selection in a simulated region of eight
 * engines.
 *
 * <p>Each prompt begins with one of 200 prefixes, whose popularity follows Zipf's law. An engine
 * caches the 24 most recently used prefixes; the prefill of a prompt takes 300 ms without its
 * prefix in the cache and 30 ms with it. Cache events arrive one second late and every seventh is
 * lost. After half of the requests all caches are emptied, as if the region had taken over the
 * traffic of another; the requests right after that have table rows of their own.
 */
final class RoutingExperiment implements Experiment {

    private static final int ENGINE_COUNT = 8;
    private static final int SLOTS_PER_ENGINE = 16;
    private static final int PREFIX_COUNT = 200;
    private static final int CACHED_PREFIXES_PER_ENGINE = 24;
    private static final long UNCACHED_PREFILL_MS = 300;
    private static final long CACHED_PREFILL_MS = 30;
    private static final long MEAN_DECODE_MS = 1_000;
    private static final int REQUEST_COUNT = 60_000;
    private static final int REQUESTS_AFTER_EMPTYING = 3_000;
    private static final long EVENT_LAG_MS = 1_000;
    private static final int LOST_EVENT_INTERVAL = 7;
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
                        "max_to_min_requests");
        for (double load : LOADS) {
            for (Strategy strategy : Strategy.values()) {
                new Simulation(seed, load, strategy).measure(table);
            }
        }
        return table;
    }

    private enum Strategy {
        RANDOM,
        LEAST_LOADED,
        AFFINITY,
        AFFINITY_AND_EVENTS
    }

    /** Simulates one load with one selection strategy. */
    private static final class Simulation {

        private final Random mRandom;
        private final double mLoad;
        private final Strategy mStrategy;
        private final Configuration mConfiguration = SyntheticConfiguration.of(1, ENGINE_COUNT, 1);
        private final EndpointTable mEndpointTable = new EndpointTable();
        private final Router mRouter;
        private final Map<EndpointState, Engine> mEngines = new HashMap<>();
        private final PriorityQueue<RequestEnd> mRequestEnds = new PriorityQueue<>();
        private final PriorityQueue<CacheEvent> mCacheEvents = new PriorityQueue<>();
        private Histogram mFirstTokenMs = new Histogram(3_600_000, 3);
        private long mCacheHits;
        private long mEventCount;

        Simulation(long seed, double load, Strategy strategy) {
            mRandom = new Random(seed);
            mLoad = load;
            mStrategy = strategy;
            mEndpointTable.setEndpoints(mConfiguration.all(Endpoint.class), 0);
            mRouter = new Router(SyntheticConfiguration.region(0), mEndpointTable, region -> false);
            endpoints().forEach(state -> mEngines.put(state, new Engine()));
        }

        private List<EndpointState> endpoints() {
            return mEndpointTable.findByService(
                    SyntheticConfiguration.modelService(), SyntheticConfiguration.region(0));
        }

        void measure(Table table) {
            double meanDurationMs = MEAN_DECODE_MS + UNCACHED_PREFILL_MS / 2.0;
            double requestsPerMs = mLoad * ENGINE_COUNT * SLOTS_PER_ENGINE / meanDurationMs;
            double nowMs = 1_000_000;
            for (int i = 0; i < REQUEST_COUNT; i++) {
                nowMs += -Math.log(1 - mRandom.nextDouble()) / requestsPerMs;
                processEventsUntil((long) nowMs);
                handleArrival((long) nowMs, drawPrefix());
                if (i == REQUEST_COUNT / 2) {
                    addResults(table, "WARM", REQUEST_COUNT / 2);
                    mEngines.values().forEach(engine -> engine.mPrefixes.clear());
                } else if (i == REQUEST_COUNT / 2 + REQUESTS_AFTER_EMPTYING) {
                    addResults(table, "EMPTIED", REQUESTS_AFTER_EMPTYING);
                }
            }
        }

        /** Adds a row and resets the counters. */
        private void addResults(Table table, String cacheState, int requests) {
            long maxServed =
                    mEngines.values().stream().mapToLong(engine -> engine.mServed).max().orElse(0);
            long minServed =
                    mEngines.values().stream().mapToLong(engine -> engine.mServed).min().orElse(0);
            table.add(
                    mLoad,
                    mStrategy,
                    cacheState,
                    (double) mCacheHits / requests,
                    mFirstTokenMs.getValueAtPercentile(50),
                    mFirstTokenMs.getValueAtPercentile(99),
                    (double) maxServed / Math.max(1, minServed));
            mCacheHits = 0;
            mFirstTokenMs = new Histogram(3_600_000, 3);
            mEngines.values().forEach(engine -> engine.mServed = 0);
        }

        private int drawPrefix() {
            double rank = Math.exp(mRandom.nextDouble() * Math.log(PREFIX_COUNT));
            return (int) rank - 1;
        }

        private void processEventsUntil(long nowMs) {
            while (!mRequestEnds.isEmpty() && mRequestEnds.peek().atMs() <= nowMs) {
                mRequestEnds.poll().endpoint().requestSucceeded();
            }
            while (!mCacheEvents.isEmpty() && mCacheEvents.peek().atMs() <= nowMs) {
                applyCacheEvent(mCacheEvents.poll());
            }
        }

        private static void applyCacheEvent(CacheEvent event) {
            if (event.stored()) {
                event.endpoint().recordPrefixCached(prefixName(event.prefix()), event.atMs());
            } else {
                event.endpoint().recordPrefixEvicted(prefixName(event.prefix()));
            }
        }

        private static String prefixName(int prefix) {
            return "prefix-" + prefix;
        }

        /** Schedules a cache event, which arrives late or is lost. */
        private void scheduleCacheEvent(
                EndpointState endpoint, int prefix, boolean stored, long nowMs) {
            mEventCount++;
            if (mEventCount % LOST_EVENT_INTERVAL != 0) {
                mCacheEvents.add(new CacheEvent(nowMs + EVENT_LAG_MS, endpoint, prefix, stored));
            }
        }

        /** Uses a prefix on an engine and returns whether the prefix was cached. */
        private boolean usePrefix(EndpointState endpoint, int prefix, long nowMs) {
            Engine engine = mEngines.get(endpoint);
            boolean hit = engine.usePrefix(prefix);
            if (mStrategy == Strategy.AFFINITY_AND_EVENTS) {
                endpoint.recordPrefixCached(prefixName(prefix), nowMs);
                if (!hit) {
                    scheduleCacheEvent(endpoint, prefix, true, nowMs);
                }
                engine.evict()
                        .ifPresent(
                                evictedPrefix ->
                                        scheduleCacheEvent(endpoint, evictedPrefix, false, nowMs));
            } else {
                engine.evict();
            }
            return hit;
        }

        /**
         * Starts a request; while no engine has a free slot, it waits for the next request to end.
         */
        private void handleArrival(long nowMs, int prefix) {
            long startMs = nowMs;
            EndpointState chosen = choose(prefix, startMs);
            while (chosen == null) {
                RequestEnd next = mRequestEnds.poll();
                startMs = Math.max(startMs, next.atMs());
                next.endpoint().requestSucceeded();
                chosen = choose(prefix, startMs);
            }
            chosen.requestStarted(false);
            boolean hit = usePrefix(chosen, prefix, startMs);
            mCacheHits += hit ? 1 : 0;
            long prefillMs = hit ? CACHED_PREFILL_MS : UNCACHED_PREFILL_MS;
            mFirstTokenMs.recordValue(startMs - nowMs + prefillMs);
            long decodeMs = MEAN_DECODE_MS / 2 + mRandom.nextInt((int) MEAN_DECODE_MS);
            mRequestEnds.add(new RequestEnd(startMs + prefillMs + decodeMs, chosen));
        }

        private EndpointState choose(int prefix, long nowMs) {
            if (mStrategy == Strategy.AFFINITY || mStrategy == Strategy.AFFINITY_AND_EVENTS) {
                return chooseByRouter(prefixName(prefix), nowMs);
            }
            List<EndpointState> candidates =
                    endpoints().stream().filter(state -> state.canAcceptRequest(nowMs)).toList();
            if (candidates.isEmpty()) {
                return null;
            }
            if (mStrategy == Strategy.LEAST_LOADED) {
                return chooseByRouter("", nowMs);
            }
            return candidates.get(mRandom.nextInt(candidates.size()));
        }

        private EndpointState chooseByRouter(String affinityKey, long nowMs) {
            RouteRequest request =
                    new RouteRequest(
                            SyntheticConfiguration.modelService(),
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

    /** Simulates the prefix cache of an engine, with the least recently used prefix first. */
    private static final class Engine {

        private final LinkedHashMap<Integer, Boolean> mPrefixes =
                new LinkedHashMap<>(CACHED_PREFIXES_PER_ENGINE, 0.75f, true);
        private long mServed;

        boolean usePrefix(int prefix) {
            mServed++;
            return mPrefixes.put(prefix, true) != null;
        }

        /** Removes and returns the least recently used prefix if the cache exceeds its size. */
        Optional<Integer> evict() {
            if (mPrefixes.size() <= CACHED_PREFIXES_PER_ENGINE) {
                return Optional.empty();
            }
            int leastRecentlyUsed = mPrefixes.keySet().iterator().next();
            mPrefixes.remove(leastRecentlyUsed);
            return Optional.of(leastRecentlyUsed);
        }
    }

    private record CacheEvent(long atMs, EndpointState endpoint, int prefix, boolean stored)
            implements Comparable<CacheEvent> {

        @Override
        public int compareTo(CacheEvent other) {
            return Long.compare(atMs, other.atMs);
        }
    }

    private record RequestEnd(long atMs, EndpointState endpoint) implements Comparable<RequestEnd> {

        @Override
        public int compareTo(RequestEnd other) {
            return Long.compare(atMs, other.atMs);
        }
    }
}
