package org.filbertrudder.measure;

import io.vertx.core.Vertx;
import java.nio.file.Path;
import org.filbertrudder.scenarios.Deployment;
import org.filbertrudder.scenarios.Fleet;

/**
 * Measures on a fleet of processes the share of retries while a third of the engines crash
 * repeatedly.
 */
final class FleetRetryExperiment implements Experiment {

    private static final int CRASHING_ENGINES = 3;
    private static final double REQUESTS_PER_SECOND = 60;
    private static final int ROUNDS = 20;
    private static final long ROUND_MS = 2_000;
    private static final long DRAIN_MS = 10_000;

    @Override
    public Table run(long seed) {
        Path logDirectory =
                Path.of(System.getProperty("filbertrudder.root", "."), "build", "retries");
        Table table =
                new Table(
                        "phase",
                        "engines_crashing",
                        "requests",
                        "served_share",
                        "retries_per_request");
        Vertx vertx = Vertx.vertx();
        try (Fleet fleet = Fleet.start(Deployment.BUREAU, 3, logDirectory)) {
            fleet.scaleContracts(10);
            fleet.awaitShardOwnership();
            runPhase(table, vertx, fleet, "no crashes", 0, seed);
            runPhase(table, vertx, fleet, "a third of the engines crash", CRASHING_ENGINES, seed);
        }
        vertx.close();
        return table;
    }

    private static void runPhase(
            Table table, Vertx vertx, Fleet fleet, String name, int crashingEngines, long seed) {
        long receivedBefore = fleet.totalCounter("requests.received");
        long retriesBefore = fleet.totalCounter("requests.retries");
        StreamLoadGenerator load =
                new StreamLoadGenerator(vertx, fleet, "federation", REQUESTS_PER_SECOND, seed)
                        .start();
        for (int i = 0; i < ROUNDS; i++) {
            for (int engine = 0; engine < crashingEngines; engine++) {
                fleet.endpoints().callEngine(engine, "POST", "/standin/crash", "{}");
            }
            Pause.sleepMs(ROUND_MS);
        }
        load.stop();
        Pause.sleepMs(DRAIN_MS);
        long requests = fleet.totalCounter("requests.received") - receivedBefore;
        double retriesPerRequest =
                (double) (fleet.totalCounter("requests.retries") - retriesBefore) / requests;
        table.add(name, crashingEngines, requests, load.servedShare(), retriesPerRequest);
    }
}
