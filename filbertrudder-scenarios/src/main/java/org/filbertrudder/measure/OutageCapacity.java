package org.filbertrudder.measure;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import org.filbertrudder.model.Service;
import org.filbertrudder.scenarios.Deployment;
import org.filbertrudder.scenarios.Fleet;

/** Measures the calls to the store before, during and after an outage, by process. */
final class OutageCapacity implements Experiment {

    private static final int INSTANCES = 6;
    private static final long UP_MS = 20_000;
    private static final long OUT_MS = 60_000;
    private static final long BACK_MS = 20_000;
    private static final long MS_PER_SECOND = 1_000;

    @Override
    public Table run(long seed) {
        Path logDirectory =
                Path.of(System.getProperty("filbertrudder.root", "."), "build", "outage");
        Table table =
                new Table(
                        "phase",
                        "seconds",
                        "instances",
                        "calls_per_second_mean",
                        "calls_per_second_most");
        try (Fleet fleet = Fleet.start(Deployment.BUREAU, INSTANCES, logDirectory)) {
            fleet.awaitShardOwnership();
            fleet.apply(
                    fleet.inventory()
                            .withServices(
                                    fleet.inventory().services().stream()
                                            .map(OutageCapacity::withOrders)
                                            .toList()));
            phase(table, fleet, "store up", UP_MS);
            fleet.platform().setStoreFaults("{\"mode\":\"OUT\"}");
            phase(table, fleet, "store out", OUT_MS);
            fleet.platform().setStoreFaults("{\"mode\":\"UP\"}");
            phase(table, fleet, "store back", BACK_MS);
        }
        return table;
    }

    private static Service withOrders(Service service) {
        return service.models().isEmpty() ? service : service.withSetup("v1", service.adapters());
    }

    private static void phase(Table table, Fleet fleet, String name, long durationMs) {
        long from = System.currentTimeMillis() / MS_PER_SECOND + 1;
        Pause.ms(durationMs);
        long until = System.currentTimeMillis() / MS_PER_SECOND;
        long total = 0;
        long most = 0;
        for (JsonNode second : fleet.platform().storeCallStats().path("perSecond")) {
            long at = second.get(0).asLong();
            if (at >= from && at < until) {
                total += second.get(1).asLong();
                most = Math.max(most, second.get(1).asLong());
            }
        }
        long seconds = until - from;
        table.add(name, seconds, INSTANCES, (double) total / seconds, most);
    }
}
