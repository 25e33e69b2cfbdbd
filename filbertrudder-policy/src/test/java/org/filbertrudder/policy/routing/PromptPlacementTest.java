package org.filbertrudder.policy.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests on which engine prompts are placed, also under simulated bursts. */
public class PromptPlacementTest {

    private static final ServiceId SERVICE = ServiceId.of("pool");
    private static final long MEMORY_TOKENS = 400_000;
    private static final long NOW_MS = 100_000;
    private static final RegionGraph REGIONS = new ThreeRegions();

    private static RegionId region(int number) {
        return RegionId.of("r" + number);
    }

    private static EndpointTable table(int... endpointsByRegion) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int region = 0; region < endpointsByRegion.length; region++) {
            for (int number = 0; number < endpointsByRegion[region]; number++) {
                endpoints.add(
                        Endpoint.of(
                                EndpointId.of("e" + region + "-" + number),
                                SERVICE,
                                region(region),
                                FailureDomainId.of("d" + region),
                                "127.0.0.1",
                                1 + number,
                                64));
            }
        }
        EndpointTable table = new EndpointTable();
        table.setEndpoints(endpoints, 0);
        table.findByService(SERVICE).forEach(state -> state.setEngineMemory(MEMORY_TOKENS));
        return table;
    }

    private static PromptDemand prompt(String sharedPart, long sharedTokens, long ownTokens) {
        return new PromptDemand(
                List.of(new PromptPart(sharedPart, sharedTokens), new PromptPart("own", ownTokens)),
                sharedTokens + ownTokens,
                300);
    }

    private static Route choose(
            EndpointTable table,
            int localRegion,
            PromptDemand prompt,
            Predicate<RegionId> allowed) {
        return choose(table, localRegion, prompt, allowed, false, NOW_MS);
    }

    private static Route choose(
            EndpointTable table,
            int localRegion,
            PromptDemand prompt,
            Predicate<RegionId> allowed,
            boolean mayWaitForBusyEngine,
            long nowMs) {
        RouteRequest request =
                new RouteRequest(
                        SERVICE,
                        allowed,
                        "",
                        Set.of(),
                        Optional.empty(),
                        false,
                        false,
                        mayWaitForBusyEngine,
                        Optional.of(prompt));
        Router router = new Router(region(localRegion), table, region -> true);
        return router.choose(request, REGIONS, 0, nowMs);
    }

    private static EndpointState expectedEngine(Route route) {
        return route instanceof Route.Local local
                ? local.endpoint()
                : ((Route.Forward) route).expectedEndpoint().orElseThrow();
    }

    @Test
    public void allInstancesChooseTheSameEngineForALongSharedPart() {
        for (int sharedPart = 0; sharedPart < 50; sharedPart++) {
            PromptDemand prompt = prompt("s" + sharedPart, 5_000, 6_000);
            Set<EndpointId> chosen = new HashSet<>();
            for (int localRegion = 0; localRegion < 3; localRegion++) {
                EndpointTable table = table(4, 3, 1);
                chosen.add(expectedEngine(choose(table, localRegion, prompt, region -> true)).id());
            }
            assertEquals(chosen.size(), 1, "number of engines for shared part " + sharedPart);
        }
    }

    @Test
    public void runsAShortPromptInTheLocalRegion() {
        EndpointTable table = table(4, 3, 1);

        for (int sharedPart = 0; sharedPart < 50; sharedPart++) {
            Route route = choose(table, 2, prompt("s" + sharedPart, 200, 600), region -> true);
            assertTrue(
                    route instanceof Route.Local,
                    "prompt with shared part " + sharedPart + " was forwarded");
        }
    }

    @Test
    public void forwardsAPromptFromARegionWithALongBacklog() {
        EndpointTable table = table(4, 3, 1);
        EndpointState engine = table.findByService(SERVICE, region(2)).get(0);
        engine.recordLoadOfOthers(30, 550, 100_000, 0, 100_000);

        Route route = choose(table, 2, prompt("s", 200, 600), region -> true);

        assertNotEquals(expectedEngine(route).id(), engine.id());
    }

    @Test
    public void waitsIfThePromptExceedsTheFreeEngineMemory() {
        EndpointTable table = table(1);
        EndpointState engine = table.findByService(SERVICE, region(0)).get(0);
        engine.recordLoadOfOthers(10, 0, 355_000, 0, 100_000);

        assertTrue(
                choose(table, 0, prompt("s", 5_000, 6_000), region -> true) instanceof Route.Wait);
        assertTrue(choose(table, 0, prompt("s", 100, 600), region -> true) instanceof Route.Local);
    }

    @Test
    public void neverChoosesARegionThatIsNotAllowed() {
        Random random = new Random(7);
        for (int run = 0; run < 200; run++) {
            EndpointTable table = table(2, 2, 2);
            table.findByService(SERVICE)
                    .forEach(
                            state ->
                                    state.recordLoadOfOthers(
                                            random.nextInt(70),
                                            random.nextInt(700),
                                            random.nextInt(400_000),
                                            0,
                                            100_000));
            Route route =
                    choose(
                            table,
                            random.nextInt(3),
                            prompt("s" + run, random.nextInt(9_000), 500),
                            region -> !region.equals(region(1)));
            if (!(route instanceof Route.Wait)) {
                assertNotEquals(expectedEngine(route).endpoint().region(), region(1));
            }
        }
    }

    @Test
    public void aPromptThatMayWaitWaitsForABusyEngineThatHasCachedItsSharedPart() {
        EndpointTable table = table(3);
        PromptDemand prompt = prompt("s", 5_000, 600);
        EndpointState preferredEngine = expectedEngine(choose(table, 0, prompt, region -> true));
        preferredEngine.addPromptLoad(prompt, NOW_MS).release();
        preferredEngine.recordLoadOfOthers(10, 450, 50_000, 0, NOW_MS);

        Route withoutWaiting = choose(table, 0, prompt, region -> true, false, NOW_MS);
        Route withWaiting = choose(table, 0, prompt, region -> true, true, NOW_MS);
        preferredEngine.recordLoadOfOthers(10, 2_000, 50_000, 0, NOW_MS);
        Route withLongBacklog = choose(table, 0, prompt, region -> true, true, NOW_MS);

        assertNotEquals(expectedEngine(withoutWaiting).id(), preferredEngine.id());
        assertEquals(withWaiting, new Route.WaitForEngine());
        assertNotEquals(expectedEngine(withLongBacklog).id(), preferredEngine.id());
    }

    @Test
    public void aPromptWithoutSharedTokensDoesNotWaitForABusyEngine() {
        EndpointTable table = table(2);
        table.findByService(SERVICE).get(0).recordLoadOfOthers(10, 450, 50_000, 0, NOW_MS);

        Route route = choose(table, 0, prompt("s", 0, 600), region -> true, true, NOW_MS);

        assertEquals(expectedEngine(route).id(), table.findByService(SERVICE).get(1).id());
    }

    /** Lists the random seeds of the simulated bursts. */
    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1}, {2}, {3}};
    }

    /**
     * Guards against redundant prefill during bursts: long prompts with few distinct shared parts
     * keep the engines near their limit, so the engine that has cached a part is often busy.
     */
    @Test(dataProvider = "seeds")
    public void waitingForBusyEnginesSavesPrefillDuringBurstsWithoutDelayingFirstTokens(int seed) {
        BurstSimulation withoutWaiting = new BurstSimulation(seed, 0);
        BurstSimulation withWaiting = new BurstSimulation(seed, 480);
        withoutWaiting.run();
        withWaiting.run();

        assertTrue(
                withWaiting.mRedundantTokens < 0.7 * withoutWaiting.mRedundantTokens,
                withWaiting.mRedundantTokens
                        + " redundant tokens with waiting, without: "
                        + withoutWaiting.mRedundantTokens);
        assertTrue(
                withWaiting.firstTokensWithin(1_200) >= withoutWaiting.firstTokensWithin(1_200),
                withWaiting.firstTokensWithin(1_200)
                        + " first tokens in time with waiting, without: "
                        + withoutWaiting.firstTokensWithin(1_200));
    }

    @Test
    public void refusesAPromptIfNoRegionIsAllowed() {
        Route route = choose(table(1, 0, 0), 0, prompt("s", 10, 10), region -> false);

        assertTrue(route instanceof Route.Refuse);
    }

    /** Simulates bursts of prompts on engines that prefill one prompt at a time. */
    private static final class BurstSimulation {

        private static final int ENGINES = 6;
        private static final int SHARED_PARTS = 60;
        private static final double BURST_PROMPTS_PER_MS = 0.11;
        private static final double PROMPTS_PER_MS_BETWEEN_BURSTS = 0.02;
        private static final long DURATION_MS = 20_000;
        private static final double PREFILL_TOKENS_PER_MS = 55;
        private static final long GENERATION_MS = 1_500;

        private final EndpointTable mTable = table(ENGINES);
        private final Random mRandom;
        private final long mMaxWaitForEngineMs;
        private final Map<PromptDemand, Long> mWaiting = new LinkedHashMap<>();
        private final PriorityQueue<Event> mEvents =
                new PriorityQueue<>(Comparator.comparingLong(Event::atMs));
        private final Map<EndpointState, Long> mPrefillBusyUntilMs = new HashMap<>();
        private final Set<String> mPrefilledSharedParts = new HashSet<>();
        private final List<Long> mTimesToFirstTokenMs = new ArrayList<>();
        private long mRedundantTokens;

        BurstSimulation(int seed, long maxWaitForEngineMs) {
            mRandom = new Random(seed);
            mMaxWaitForEngineMs = maxWaitForEngineMs;
        }

        void run() {
            for (long nowMs = NOW_MS; nowMs < NOW_MS + DURATION_MS; nowMs++) {
                boolean inBurst = nowMs / 1_000 % 2 == 0;
                if (mRandom.nextDouble()
                        < (inBurst ? BURST_PROMPTS_PER_MS : PROMPTS_PER_MS_BETWEEN_BURSTS)) {
                    String sharedPart = "s" + mRandom.nextInt(SHARED_PARTS);
                    long ownTokens = 600 + mRandom.nextInt(2_400);
                    mWaiting.put(
                            prompt(sharedPart, 4_000 + sharedPart.hashCode() % 7, ownTokens),
                            nowMs);
                }
                while (!mEvents.isEmpty() && mEvents.peek().atMs() <= nowMs) {
                    mEvents.poll().action().run();
                }
                startWaitingPrompts(nowMs);
            }
        }

        private void startWaitingPrompts(long nowMs) {
            for (Map.Entry<PromptDemand, Long> entry : List.copyOf(mWaiting.entrySet())) {
                boolean mayWaitForBusyEngine = nowMs - entry.getValue() < mMaxWaitForEngineMs;
                PromptDemand prompt = entry.getKey();
                Route route =
                        choose(mTable, 0, prompt, region -> true, mayWaitForBusyEngine, nowMs);
                if (route instanceof Route.Local local) {
                    mWaiting.remove(prompt);
                    start(local.endpoint(), prompt, entry.getValue(), nowMs);
                }
            }
        }

        private void start(EndpointState engine, PromptDemand prompt, long arrivedMs, long nowMs) {
            long uncachedTokens = engine.uncachedSharedTokens(prompt, nowMs);
            if (!mPrefilledSharedParts.add(prompt.affinityKey())) {
                mRedundantTokens += uncachedTokens;
            }
            long ownTokens = prompt.promptTokens() - prompt.parts().get(0).tokens();
            PromptLoad promptLoad = engine.addPromptLoad(prompt, nowMs);
            engine.requestStarted(false, nowMs);
            long prefillEndMs =
                    Math.max(nowMs, mPrefillBusyUntilMs.getOrDefault(engine, nowMs))
                            + Math.round((ownTokens + uncachedTokens) / PREFILL_TOKENS_PER_MS);
            mPrefillBusyUntilMs.put(engine, prefillEndMs);
            mTimesToFirstTokenMs.add(prefillEndMs - arrivedMs);
            mEvents.add(new Event(prefillEndMs, promptLoad::prefillFinished));
            mEvents.add(
                    new Event(
                            prefillEndMs + GENERATION_MS,
                            () -> {
                                promptLoad.release();
                                engine.requestSucceeded();
                            }));
        }

        long firstTokensWithin(long maxMs) {
            return mTimesToFirstTokenMs.stream().filter(ms -> ms <= maxMs).count();
        }

        private record Event(long atMs, Runnable action) {}
    }

    /** Provides three regions with equal delays between them. */
    private static final class ThreeRegions implements RegionGraph {

        @Override
        public Collection<RegionId> regionIds() {
            return List.of(region(0), region(1), region(2));
        }

        @Override
        public List<RegionId> nearestTo(RegionId localRegion) {
            return regionIds().stream().filter(region -> !region.equals(localRegion)).toList();
        }

        @Override
        public double delayMs(RegionId from, RegionId to) {
            return 80;
        }

        @Override
        public long forwardingCostMs() {
            return 150;
        }
    }
}
