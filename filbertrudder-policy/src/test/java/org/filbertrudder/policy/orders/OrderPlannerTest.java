package org.filbertrudder.policy.orders;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.EngineRole;
import org.filbertrudder.model.EngineSetup;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which engines are sent orders, and when. */
public class OrderPlannerTest {

    private static final EngineSetup OLD = new EngineSetup("v1", List.of(), EngineRole.BOTH);
    private static final EngineSetup NEW = new EngineSetup("v2", List.of(), EngineRole.BOTH);
    private static final long FETCHES_PER_MINUTE = 60;
    private static final long TICK_MS = 100;

    private static OrderPlanner planner() {
        WeightFetchLimiter fetchLimiter = new WeightFetchLimiter();
        fetchLimiter.setRate(FETCHES_PER_MINUTE);
        OrderPlanner planner = new OrderPlanner(fetchLimiter);
        planner.reset(-10_000);
        return planner;
    }

    private static OrderPlanner.Engine engine(
            int engineNumber, EngineSetup loaded, long receivedMs) {
        return new OrderPlanner.Engine(
                EndpointId.of("e" + engineNumber),
                NEW,
                new EngineReport(loaded, false, receivedMs));
    }

    @Test
    public void sendsNoOrderForASetupThatIsLoaded() {
        assertEquals(planner().plan(List.of(engine(1, NEW, 0)), 0), List.of());
    }

    @Test
    public void sendsNoOrderToAnEngineWithoutAFreshReport() {
        OrderPlanner.Engine unreported = new OrderPlanner.Engine(EndpointId.of("e1"), NEW, null);

        assertEquals(planner().plan(List.of(unreported), 0), List.of());
        assertEquals(planner().plan(List.of(engine(1, OLD, -9_000)), 0), List.of());
    }

    @Test
    public void repeatsAnOrderUntilTheReportMatches() {
        OrderPlanner planner = planner();
        List<OrderPlanner.Engine> engines = List.of(engine(1, OLD, 0));

        assertEquals(planner.plan(engines, 0).size(), 1);
        assertEquals(planner.plan(engines, 1_000).size(), 0);
        assertEquals(planner.plan(engines, 3_100).size(), 1);
    }

    @Test
    public void aNewSenderWaitsForAFullFetchInterval() {
        OrderPlanner planner = planner();
        planner.reset(0);

        assertEquals(planner.plan(List.of(engine(1, OLD, 0)), 0), List.of());
        assertEquals(planner.plan(List.of(engine(1, OLD, 900)), 1_000).size(), 1);
    }

    @Test
    public void aChangeOfAdaptersOrRoleNeedsNoWeightFetch() {
        OrderPlanner planner = planner();
        planner.reset(0);
        EngineSetup differentAdaptersAndRole =
                new EngineSetup("v2", List.of("a"), EngineRole.DECODE);

        assertEquals(planner.plan(List.of(engine(1, differentAdaptersAndRole, 0)), 0).size(), 1);
    }

    @DataProvider
    public Object[][] engineCountsAndSeeds() {
        return new Object[][] {{1, 1L}, {3, 2L}, {8, 3L}, {13, 4L}, {60, 5L}};
    }

    @Test(dataProvider = "engineCountsAndSeeds")
    public void limitsUnavailableEnginesAndFetchesUnderReportDelayAndOrderLoss(
            int engines, long seed) {
        Random random = new Random(seed);
        OrderPlanner planner = planner();
        Map<Integer, EngineSetup> loaded = new HashMap<>();
        Map<Integer, Long> switchingUntilMs = new HashMap<>();
        Map<Integer, EngineReport> reports = new HashMap<>();
        IntStream.range(0, engines).forEach(i -> loaded.put(i, OLD));
        int fetches = 0;
        long nowMs = 0;

        while (!loaded.values().stream().allMatch(NEW::equals)) {
            nowMs += TICK_MS;
            for (int i = 0; i < engines; i++) {
                if (nowMs >= switchingUntilMs.getOrDefault(i, Long.MAX_VALUE)) {
                    loaded.put(i, NEW);
                    switchingUntilMs.remove(i);
                }
                if (random.nextInt(5) == 0) {
                    boolean switching = switchingUntilMs.containsKey(i);
                    reports.put(i, new EngineReport(loaded.get(i), switching, nowMs));
                }
            }
            for (EndpointId endpoint : planner.plan(engines(engines, reports), nowMs)) {
                int engineNumber = Integer.parseInt(endpoint.value().substring(1));
                boolean orderLost = random.nextInt(10) == 0;
                if (!orderLost
                        && !loaded.get(engineNumber).equals(NEW)
                        && !switchingUntilMs.containsKey(engineNumber)) {
                    switchingUntilMs.put(engineNumber, nowMs + 500 + random.nextInt(4_000));
                    fetches++;
                }
            }
            assertTrue(
                    switchingUntilMs.size() <= Math.max(1, engines / 4),
                    "engines switching, with the end in ms: " + switchingUntilMs);
            assertTrue(
                    fetches <= 1 + nowMs * FETCHES_PER_MINUTE / 60_000,
                    "weight fetches: " + fetches);
            assertTrue(nowMs < 1_200_000, "engines not updated in time: " + loaded);
        }
    }

    private static List<OrderPlanner.Engine> engines(
            int count, Map<Integer, EngineReport> reports) {
        List<OrderPlanner.Engine> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(new OrderPlanner.Engine(EndpointId.of("e" + i), NEW, reports.get(i)));
        }
        return engines;
    }

    @Test
    public void allowsNoOrderThatMayArriveAfterTheLease() {
        OrderLease lease = new OrderLease(7, 15_000);

        assertTrue(lease.allowsOrder(12_000));
        assertFalse(lease.allowsOrder(13_000));
        assertTrue(lease.isExpired(15_000));
        assertTrue(lease.renewed(10_000, 15_000).allowsOrder(20_000));
        assertFalse(lease.renewed(1_000, 1_000).allowsOrder(13_500));
    }
}
