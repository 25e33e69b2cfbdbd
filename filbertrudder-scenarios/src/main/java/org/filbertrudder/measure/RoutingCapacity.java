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

/** Measures the memory of the endpoint table and the time of a routing decision by table size. */
final class RoutingCapacity implements Experiment {

    private static final int[] ENDPOINT_COUNTS = {480, 2_400, 10_000};
    private static final int REGION_COUNT = 48;
    private static final int DECISION_COUNT = 2_000;

    @Override
    public Table run(long seed) {
        Table table =
                new Table(
                        "endpoints",
                        "table_bytes_per_endpoint",
                        "local_decision_us",
                        "forward_decision_us");
        for (int endpointCount : ENDPOINT_COUNTS) {
            Configuration configuration =
                    SyntheticConfiguration.of(REGION_COUNT, endpointCount, 100);
            long heapBefore = HeapUsage.usedBytes();
            EndpointTable endpointTable = new EndpointTable();
            endpointTable.setEndpoints(configuration.all(Endpoint.class), 0);
            double bytesPerEndpoint = (double) (HeapUsage.usedBytes() - heapBefore) / endpointCount;
            double localUs = measureDecisionUs(configuration, endpointTable, seed, true);
            double forwardUs = measureDecisionUs(configuration, endpointTable, seed, false);
            table.add(endpointCount, bytesPerEndpoint, localUs, forwardUs);
        }
        return table;
    }

    private static double measureDecisionUs(
            Configuration configuration,
            EndpointTable endpointTable,
            long seed,
            boolean localAllowed) {
        Router router = new Router(SyntheticConfiguration.region(0), endpointTable, region -> true);
        Random random = new Random(seed);
        long startNs = 0;
        for (int round = 0; round < 2; round++) {
            startNs = System.nanoTime();
            for (int i = 0; i < DECISION_COUNT; i++) {
                RouteRequest request =
                        new RouteRequest(
                                SyntheticConfiguration.modelService(),
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
        return (System.nanoTime() - startNs) / 1e3 / DECISION_COUNT;
    }
}
