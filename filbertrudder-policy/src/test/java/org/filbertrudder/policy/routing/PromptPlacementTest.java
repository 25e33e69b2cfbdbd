package org.filbertrudder.policy.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.testng.annotations.Test;

/** Tests where prompts are read, with the load patterns that the placement answers. */
public class PromptPlacementTest {

    private static final ServiceId SERVICE = ServiceId.of("pool");
    private static final long MEMORY_TOKENS = 400_000;
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
        table.of(SERVICE).forEach(state -> state.setEngineMemory(MEMORY_TOKENS));
        return table;
    }

    private static PromptDemand prompt(String subject, long sharedTokens, long ownTokens) {
        return new PromptDemand(
                List.of(new PromptPart(subject, sharedTokens), new PromptPart("own", ownTokens)),
                sharedTokens + ownTokens,
                300);
    }

    private static Route choose(
            EndpointTable table, int here, PromptDemand prompt, Predicate<RegionId> allowed) {
        RouteRequest request =
                new RouteRequest(
                        SERVICE,
                        allowed,
                        "",
                        Set.of(),
                        Optional.empty(),
                        false,
                        false,
                        Optional.of(prompt));
        Router router = new Router(region(here), table, region -> true);
        return router.choose(request, REGIONS, 0, 100_000);
    }

    private static EndpointState expected(Route route) {
        return route instanceof Route.Local local
                ? local.endpoint()
                : ((Route.Away) route).expected().orElseThrow();
    }

    @Test
    public void allInstancesSendALongSharedPartToTheSameEngine() {
        for (int subject = 0; subject < 50; subject++) {
            PromptDemand prompt = prompt("s" + subject, 5_000, 6_000);
            Set<EndpointId> chosen = new HashSet<>();
            for (int here = 0; here < 3; here++) {
                EndpointTable table = table(4, 3, 1);
                chosen.add(expected(choose(table, here, prompt, region -> true)).id());
            }
            assertEquals(chosen.size(), 1, "engines for subject " + subject);
        }
    }

    @Test
    public void aShortPromptStaysInItsRegion() {
        EndpointTable table = table(4, 3, 1);

        for (int subject = 0; subject < 50; subject++) {
            Route route = choose(table, 2, prompt("s" + subject, 200, 600), region -> true);
            assertTrue(route instanceof Route.Local, "subject " + subject + " left");
        }
    }

    @Test
    public void aSmallRegionAtItsPeakSendsWorkAway() {
        EndpointTable table = table(4, 3, 1);
        EndpointState only = table.of(SERVICE, region(2)).get(0);
        only.reportedByOthers(30, 550, 100_000, 100_000);

        Route route = choose(table, 2, prompt("s", 200, 600), region -> true);

        assertNotEquals(expected(route).id(), only.id());
    }

    @Test
    public void anEngineWithoutMemoryGetsNoMorePrompts() {
        EndpointTable table = table(1);
        EndpointState only = table.of(SERVICE, region(0)).get(0);
        only.reportedByOthers(10, 0, 355_000, 100_000);

        assertTrue(
                choose(table, 0, prompt("s", 5_000, 6_000), region -> true) instanceof Route.Wait);
        assertTrue(choose(table, 0, prompt("s", 100, 600), region -> true) instanceof Route.Local);
    }

    @Test
    public void neverLeavesTheHomesOfARequest() {
        Random random = new Random(7);
        for (int run = 0; run < 200; run++) {
            EndpointTable table = table(2, 2, 2);
            table.of(SERVICE)
                    .forEach(
                            state ->
                                    state.reportedByOthers(
                                            random.nextInt(70),
                                            random.nextInt(700),
                                            random.nextInt(400_000),
                                            100_000));
            Route route =
                    choose(
                            table,
                            random.nextInt(3),
                            prompt("s" + run, random.nextInt(9_000), 500),
                            region -> !region.equals(region(1)));
            if (!(route instanceof Route.Wait)) {
                assertNotEquals(expected(route).endpoint().region(), region(1));
            }
        }
    }

    @Test
    public void refusesAtOnceWhereNoEngineIsAllowed() {
        Route route = choose(table(1, 0, 0), 0, prompt("s", 10, 10), region -> false);

        assertTrue(route instanceof Route.Refuse);
    }

    /** Describes three regions at equal distances. */
    private static final class ThreeRegions implements RegionGraph {

        @Override
        public Collection<RegionId> regionIds() {
            return List.of(region(0), region(1), region(2));
        }

        @Override
        public List<RegionId> nearestTo(RegionId here) {
            return regionIds().stream().filter(region -> !region.equals(here)).toList();
        }

        @Override
        public double delayMs(RegionId from, RegionId to) {
            return 80;
        }

        @Override
        public long awayCostMs() {
            return 150;
        }
    }
}
