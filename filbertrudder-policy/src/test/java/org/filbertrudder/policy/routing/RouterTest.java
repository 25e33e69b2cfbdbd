package org.filbertrudder.policy.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.Entity;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.Link;
import org.filbertrudder.model.Region;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.Rules;
import org.filbertrudder.model.ServiceId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which endpoint or region the router chooses for a request. */
public class RouterTest {

    private static final ServiceId SERVICE = ServiceId.of("chat");
    private static final long NOW_MS = 1_000_000;

    private static RegionId region(int number) {
        return RegionId.of("r" + number);
    }

    private static Endpoint endpoint(int region, int number) {
        return Endpoint.of(
                EndpointId.of("e" + region + "-" + number),
                SERVICE,
                region(region),
                FailureDomainId.of("d"),
                "127.0.0.1",
                1 + number,
                4);
    }

    private static Configuration configuration(int regions, int endpointsInEach) {
        List<Entity> entities = new ArrayList<>();
        entities.add(Rules.DEFAULT);
        for (int i = 0; i < regions; i++) {
            entities.add(new Region(region(i), List.of(FailureDomainId.of("d"))));
            for (int j = i + 1; j < regions; j++) {
                entities.add(new Link(region(i), region(j), 10 + j, 1_000_000));
            }
            for (int j = 0; j < endpointsInEach; j++) {
                entities.add(endpoint(i, j));
            }
        }
        return Configuration.of(1, "test", entities);
    }

    private static EndpointTable table(Configuration configuration) {
        EndpointTable table = new EndpointTable();
        table.setEndpoints(configuration.all(Endpoint.class), 0);
        return table;
    }

    private static RouteRequest request(Predicate<RegionId> allowed, boolean forwarded) {
        return new RouteRequest(SERVICE, allowed, "", Set.of(), Optional.empty(), false, forwarded);
    }

    @Test
    public void prefersTheLocalRegionIfAllowed() {
        Configuration configuration = configuration(3, 2);
        Router router = new Router(region(1), table(configuration), region -> true);

        Route route = router.choose(request(region -> true, false), configuration, 0, NOW_MS);

        assertEquals(((Route.Local) route).endpoint().endpoint().region(), region(1));
    }

    @Test
    public void forwardsOnlyToAnAllowedRegion() {
        Configuration configuration = configuration(3, 2);
        Router router = new Router(region(0), table(configuration), region -> true);
        Predicate<RegionId> onlyThirdRegion = region -> region.equals(region(2));

        Route route = router.choose(request(onlyThirdRegion, false), configuration, 0, NOW_MS);

        assertEquals(route, new Route.Forward(region(2)));
    }

    @Test
    public void refusesWhenNoAllowedRegionIsReachable() {
        Configuration configuration = configuration(3, 2);
        Router router = new Router(region(0), table(configuration), region -> false);
        Predicate<RegionId> onlyThirdRegion = region -> region.equals(region(2));

        Route route = router.choose(request(onlyThirdRegion, false), configuration, 0, NOW_MS);

        assertEquals(route, new Route.Refuse(Route.Reason.NONE_AVAILABLE));
    }

    /**
     * Lists the failure rate of one endpoint, and the maximum percentage of requests sent to it.
     */
    @DataProvider
    public Object[][] failureRates() {
        return new Object[][] {{0.4, 20}, {1.0, 12}, {0.1, 40}};
    }

    @Test(dataProvider = "failureRates")
    public void sendsFewerRequestsToAnEndpointWithAHighFailureRate(
            double failureRate, int maxPercent) {
        Configuration configuration = configuration(1, 3);
        EndpointTable table = table(configuration);
        Router router = new Router(region(0), table, region -> true);
        Random random = new Random(1);
        EndpointId failing = table.findByService(SERVICE, region(0)).get(0).id();
        int sentToFailing = 0;
        for (int i = 0; i < 600; i++) {
            long nowMs = NOW_MS + 50L * i;
            Route route = router.choose(request(r -> true, false), configuration, 0, nowMs);
            EndpointState chosen = ((Route.Local) route).endpoint();
            chosen.requestStarted(false, nowMs);
            boolean fails = chosen.id().equals(failing) && random.nextDouble() < failureRate;
            chosen.recordOutcome(fails, nowMs);
            chosen.requestSucceeded();
            sentToFailing += chosen.id().equals(failing) ? 1 : 0;
        }

        assertTrue(
                sentToFailing <= 6 * maxPercent,
                "requests sent to the failing endpoint: " + sentToFailing);
        assertTrue(
                sentToFailing >= 12,
                "too few requests sent to the failing endpoint: " + sentToFailing);
    }

    @Test
    public void reportsTheShortestPauseIfAllEndpointsArePaused() {
        Configuration configuration = configuration(1, 3);
        EndpointTable table = table(configuration);
        Router router = new Router(region(0), table, region -> true);
        List<EndpointState> states = table.findByService(SERVICE, region(0));
        states.get(0).pause(9_000, NOW_MS);
        states.get(1).pause(4_000, NOW_MS);
        assertEquals(
                ((Route.Local) router.choose(request(r -> true, false), configuration, 0, NOW_MS))
                        .endpoint(),
                states.get(2));
        states.get(2).pause(7_000, NOW_MS);

        Route route = router.choose(request(r -> true, false), configuration, 0, NOW_MS + 1_000);

        assertEquals(route, new Route.Refuse(Route.Reason.NONE_AVAILABLE, 3_000));
        assertTrue(states.get(1).isUsable(NOW_MS + 4_000));
        assertFalse(states.get(0).isUsable(NOW_MS + 8_999));
    }

    @Test
    public void leavingAnnouncementAppliesToOneProcessOfAnEndpoint() {
        EndpointTable table = table(configuration(1, 2));
        EndpointState state = table.findByService(SERVICE, region(0)).get(0);
        table.setLeaving(Set.of(), Map.of(state.id(), 5L), NOW_MS);
        assertTrue(table.recordLeavingAnnouncement(state, NOW_MS));
        assertFalse(table.recordLeavingAnnouncement(state, NOW_MS));

        table.setEndpoints(List.of(), NOW_MS);
        table.setEndpoints(configuration(1, 2).all(Endpoint.class), NOW_MS);
        table.setLeaving(Set.of(), Map.of(state.id(), 5L), NOW_MS);
        EndpointState registeredAgain = table.findById(state.id()).orElseThrow();
        assertTrue(
                registeredAgain.isLeaving(),
                "The endpoint must still be leaving after re-registration.");

        table.setLeaving(Set.of(), Map.of(state.id(), 6L), NOW_MS);
        assertFalse(registeredAgain.isLeaving(), "A restarted endpoint must not be leaving.");
    }

    @Test
    public void forwardsOnlyIfTheLocalWaitExceedsTheForwardingCost() {
        Configuration configuration = configuration(2, 1);
        EndpointTable table = table(configuration);
        for (int i = 0; i < 4; i++) {
            table.findByService(SERVICE, region(0)).get(0).requestStarted(false);
        }
        Router router = new Router(region(0), table, region -> true);
        RouteRequest request = request(region -> true, false);

        assertEquals(router.choose(request, configuration, 100, NOW_MS), new Route.Wait());
        assertEquals(
                router.choose(request, configuration, 1_000, NOW_MS), new Route.Forward(region(1)));
    }

    @Test
    public void sendsNothingToALeavingEndpoint() {
        Configuration configuration = configuration(1, 2);
        EndpointTable table = table(configuration);
        table.setLeaving(Set.of(EndpointId.of("e0-0")));
        Router router = new Router(region(0), table, region -> true);

        for (int i = 0; i < 4; i++) {
            Route route = router.choose(request(region -> true, false), configuration, 0, NOW_MS);
            EndpointState chosen = ((Route.Local) route).endpoint();
            assertEquals(chosen.id(), EndpointId.of("e0-1"));
            chosen.requestStarted(false);
        }
    }

    @Test
    public void concentratesRequestsWithTheSamePrefixWithinTheLoadBound() {
        Configuration configuration = configuration(1, 8);
        EndpointTable table = table(configuration);
        Router router = new Router(region(0), table, region -> true);
        RouteRequest request =
                new RouteRequest(
                        SERVICE,
                        region -> true,
                        "prefix",
                        Set.of(),
                        Optional.empty(),
                        false,
                        false);
        Map<EndpointId, Integer> counts = new HashMap<>();

        for (int i = 0; i < 16; i++) {
            Route route = router.choose(request, configuration, 0, NOW_MS);
            EndpointState chosen = ((Route.Local) route).endpoint();
            chosen.requestStarted(false);
            counts.merge(chosen.id(), 1, Integer::sum);
        }

        int maxCount = counts.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
        assertTrue(counts.size() < 16 && maxCount <= 4, "requests by endpoint: " + counts);
    }

    @Test
    public void limitsRequestsToAnEndpointThatRecoversFromAFailure() {
        Configuration configuration = configuration(1, 1);
        EndpointState state = table(configuration).findByService(SERVICE, region(0)).get(0);
        state.requestStarted(false);
        state.requestFailed(NOW_MS);

        assertFalse(state.isUsable(NOW_MS + 100));
        assertTrue(state.canAcceptRequest(NOW_MS + 300));
        state.requestStarted(false);
        assertFalse(state.canAcceptRequest(NOW_MS + 400));
        assertTrue(state.canAcceptRequest(NOW_MS + 6_000));
    }

    @DataProvider
    public Object[][] seeds() {
        Object[][] seeds = new Object[40][];
        for (int i = 0; i < seeds.length; i++) {
            seeds[i] = new Object[] {(long) i};
        }
        return seeds;
    }

    private static RegionAvailability regionAvailability(Predicate<RegionId> linkHasCapacity) {
        return new RegionAvailability() {
            @Override
            public boolean isReachable(RegionId region) {
                return true;
            }

            @Override
            public boolean hasLinkCapacity(RegionId region) {
                return linkHasCapacity.test(region);
            }
        };
    }

    private static Route routeThatMustBeForwarded(RegionAvailability regionAvailability) {
        Configuration configuration = configuration(3, 1);
        Predicate<RegionId> allowed = region -> !region.equals(region(0));
        return new Router(region(0), table(configuration), regionAvailability)
                .choose(request(allowed, false), configuration, 0, NOW_MS);
    }

    @Test
    public void forwardsToTheNextRegionIfTheLinkToTheNearestHasNoCapacity() {
        Route route =
                routeThatMustBeForwarded(regionAvailability(region -> !region.equals(region(1))));

        assertEquals(route, new Route.Forward(region(2)));
    }

    @Test
    public void waitsIfNoLinkHasCapacityForARequestThatMustBeForwarded() {
        assertEquals(
                routeThatMustBeForwarded(regionAvailability(region -> false)), new Route.Wait());
    }

    @DataProvider
    public Object[][] failuresBeforeRouting() {
        return new Object[][] {{1, Route.Wait.class}, {6, Route.Refuse.class}};
    }

    @Test(dataProvider = "failuresBeforeRouting")
    public void waitsForAnEndpointInBackoffOnlyIfItIsUsableSoon(int failures, Class<?> expected) {
        Configuration configuration = configuration(1, 1);
        EndpointTable table = table(configuration);
        EndpointState state = table.findByService(SERVICE, region(0)).get(0);
        for (int i = 0; i < failures; i++) {
            state.requestStarted(false);
            state.requestFailed(NOW_MS);
        }

        Route route =
                new Router(region(0), table, region -> true)
                        .choose(request(region -> true, false), configuration, 0, NOW_MS);

        assertEquals(route.getClass(), expected);
    }

    private static EndpointState chooseForPrefix(EndpointTable table, Configuration configuration) {
        RouteRequest request =
                new RouteRequest(
                        SERVICE,
                        region -> true,
                        "prefix",
                        Set.of(),
                        Optional.empty(),
                        false,
                        false);
        Router router = new Router(region(0), table, region -> true);
        return ((Route.Local) router.choose(request, configuration, 0, NOW_MS)).endpoint();
    }

    @Test
    public void prefersTheEndpointThatHasCachedThePrefixUntilItsEviction() {
        Configuration configuration = configuration(1, 8);
        EndpointTable table = table(configuration);
        EndpointState chosenByHash = chooseForPrefix(table, configuration);
        EndpointState other =
                table.findByService(SERVICE, region(0)).stream()
                        .filter(state -> state != chosenByHash)
                        .findFirst()
                        .get();

        other.recordPrefixCached("prefix", NOW_MS);

        assertEquals(chooseForPrefix(table, configuration), other);
        other.recordPrefixEvicted("prefix");
        assertEquals(chooseForPrefix(table, configuration), chosenByHash);
    }

    @Test
    public void ignoresExpiredPrefixHintsAndThoseOfAFailedEndpoint() {
        Configuration configuration = configuration(1, 8);
        EndpointTable table = table(configuration);
        EndpointState chosenByHash = chooseForPrefix(table, configuration);
        List<EndpointState> others =
                table.findByService(SERVICE, region(0)).stream()
                        .filter(state -> state != chosenByHash)
                        .toList();

        others.get(0).recordPrefixCached("prefix", NOW_MS - 1_000_000);
        others.get(1).recordPrefixCached("prefix", NOW_MS - 1_000);
        others.get(1).requestStarted(false);
        others.get(1).requestFailed(NOW_MS - 20_000);

        assertEquals(chooseForPrefix(table, configuration), chosenByHash);
    }

    @Test(dataProvider = "seeds")
    public void forwardsARequestAtMostOnceInAnyTopology(long seed) {
        Random random = new Random(seed);
        int regions = 2 + random.nextInt(47);
        Configuration configuration = configuration(regions, 1);
        EndpointTable[] tables = new EndpointTable[regions];
        for (int i = 0; i < regions; i++) {
            tables[i] = table(configuration);
            failSomeEndpoints(tables[i], regions, random);
        }

        for (int i = 0; i < 50; i++) {
            boolean[] allowed = new boolean[regions];
            for (int j = 0; j < regions; j++) {
                allowed[j] = random.nextInt(3) == 0;
            }
            assertTrue(countForwards(configuration, tables, allowed, random) <= 1);
        }
    }

    private static void failSomeEndpoints(EndpointTable table, int regions, Random random) {
        for (int i = 0; i < regions; i++) {
            if (random.nextInt(3) == 0) {
                EndpointState state = table.findByService(SERVICE, region(i)).get(0);
                state.requestStarted(false);
                state.requestFailed(NOW_MS);
            }
        }
    }

    private static int countForwards(
            Configuration configuration, EndpointTable[] tables, boolean[] allowed, Random random) {
        int currentRegion = random.nextInt(tables.length);
        Predicate<RegionId> mayRunIn =
                region -> allowed[Integer.parseInt(region.value().substring(1))];
        int forwards = 0;
        while (forwards <= 1) {
            Router router =
                    new Router(region(currentRegion), tables[currentRegion], region -> true);
            Route route =
                    router.choose(
                            request(mayRunIn, forwards > 0),
                            configuration,
                            random.nextInt(2_000),
                            NOW_MS);
            if (route instanceof Route.Local local) {
                assertTrue(mayRunIn.test(local.endpoint().endpoint().region()));
            }
            if (!(route instanceof Route.Forward forward)) {
                return forwards;
            }
            assertTrue(mayRunIn.test(forward.region()));
            currentRegion = Integer.parseInt(forward.region().value().substring(1));
            forwards++;
        }
        return forwards;
    }
}
