package org.filbertrudder.measure;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import org.filbertrudder.model.Service;
import org.filbertrudder.scenarios.Deployment;
import org.filbertrudder.scenarios.Fleet;

/**
 * Measures on a fleet of processes the rate of calls to the store before, during and after an
 * outage of the store.
 */
final class StoreOutageCapacity implements Experiment {

    private static final int INSTANCE_COUNT = 6;
    private static final long BEFORE_OUTAGE_MS = 20_000;
    private static final long OUTAGE_MS = 60_000;
    private static final long AFTER_OUTAGE_MS = 20_000;
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
                        "calls_per_second_max");
        try (Fleet fleet = Fleet.start(Deployment.BUREAU, INSTANCE_COUNT, logDirectory)) {
            fleet.awaitShardOwnership();
            fleet.applyInventory(
                    fleet.initialInventory()
                            .withServices(
                                    fleet.initialInventory().services().stream()
                                            .map(StoreOutageCapacity::withModelVersion)
                                            .toList()));
            measurePhase(table, fleet, "store up", BEFORE_OUTAGE_MS);
            fleet.platform().setStoreFaults("{\"mode\":\"OUT\"}");
            measurePhase(table, fleet, "store out", OUTAGE_MS);
            fleet.platform().setStoreFaults("{\"mode\":\"UP\"}");
            measurePhase(table, fleet, "store back", AFTER_OUTAGE_MS);
        }
        return table;
    }

    private static Service withModelVersion(Service service) {
        return service.models().isEmpty()
                ? service
                : service.withVersionAndAdapters("v1", service.adapters());
    }

    private static void measurePhase(Table table, Fleet fleet, String name, long durationMs) {
        long fromSecond = System.currentTimeMillis() / MS_PER_SECOND + 1;
        Pause.sleepMs(durationMs);
        long untilSecond = System.currentTimeMillis() / MS_PER_SECOND;
        long totalCalls = 0;
        long maxCalls = 0;
        for (JsonNode entry : fleet.platform().storeCallStats().path("perSecond")) {
            long second = entry.get(0).asLong();
            if (second >= fromSecond && second < untilSecond) {
                totalCalls += entry.get(1).asLong();
                maxCalls = Math.max(maxCalls, entry.get(1).asLong());
            }
        }
        long seconds = untilSecond - fromSecond;
        table.add(name, seconds, INSTANCE_COUNT, (double) totalCalls / seconds, maxCalls);
    }
}
