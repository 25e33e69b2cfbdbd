package org.filbertrudder.measure;

import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.policy.routing.EndpointTable;
import org.filbertrudder.policy.routing.Route;
import org.filbertrudder.policy.routing.RouteRequest;
import org.filbertrudder.policy.routing.Router;

/** Measures the time of a routing decision as the number of endpoints grows. */
final class RoutingCapacity implements Experiment {

    private static final int[] ENDPOINTS = {480, 2_400, 10_000};
    private static final int REGIONS = 48;
    private static final int DECISIONS = 2_000;

    @Override
    public Table run(long seed) {
        Table table = new Table("endpoints", "table_bytes_per_endpoint", "local_us", "away_us");
        for (int endpoints : ENDPOINTS) {
            Configuration configuration = LargeConfiguration.of(REGIONS, endpoints, 100);
            long before = HeapGauge.usedBytes();
            EndpointTable endpointTable = new EndpointTable();
            endpointTable.setEndpoints(configuration.all(Endpoint.class), 0);
            double bytes = (double) (HeapGauge.usedBytes() - before) / endpoints;
            double localUs = decide(configuration, endpointTable, seed, true);
            double awayUs = decide(configuration, endpointTable, seed, false);
            table.add(endpoints, bytes, localUs, awayUs);
        }
        return table;
    }

    private static double decide(
            Configuration configuration, EndpointTable table, long seed, boolean localAllowed) {
        Router router = new Router(LargeConfiguration.region(0), table, region -> true);
        Random random = new Random(seed);
        long startNs = 0;
        for (int round = 0; round < 2; round++) {
            startNs = System.nanoTime();
            for (int i = 0; i < DECISIONS; i++) {
                RouteRequest request =
                        new RouteRequest(
                                LargeConfiguration.model(),
                                region -> localAllowed || !region.value().equals("region-0"),
                                "prefix-" + random.nextInt(500),
                                Set.of(),
                                Optional.empty(),
                                false,
                                false);
                Route route = router.choose(request, configuration, 0, 1_000_000);
                if (localAllowed != route instanceof Route.Local) {
                    throw new IllegalStateException("Unexpected route: " + route);
                }
            }
        }
        return (System.nanoTime() - startNs) / 1e3 / DECISIONS;
    }
}
