package org.filbertrudder.measure;

import io.vertx.core.Vertx;
import java.nio.file.Path;
import org.filbertrudder.scenarios.Deployment;
import org.filbertrudder.scenarios.Fleet;

/**
 * Measures on processes the share of retries while a third of the engines crash again and again.
 */
final class ProcessRetries implements Experiment {

    private static final int CRASHING_ENGINES = 3;
    private static final double PER_SECOND = 60;
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
                        "retries_by_requests");
        Vertx vertx = Vertx.vertx();
        try (Fleet fleet = Fleet.start(Deployment.BUREAU, 3, logDirectory)) {
            fleet.scaleContracts(10);
            fleet.awaitShardOwnership();
            phase(table, vertx, fleet, "calm", 0, seed);
            phase(table, vertx, fleet, "a third crashes", CRASHING_ENGINES, seed);
        }
        vertx.close();
        return table;
    }

    private static void phase(
            Table table, Vertx vertx, Fleet fleet, String name, int crashing, long seed) {
        long received = fleet.totalCounter("requests.received");
        long retries = fleet.totalCounter("requests.retries");
        StreamLoad load = new StreamLoad(vertx, fleet, "federation", PER_SECOND, seed).start();
        for (int i = 0; i < ROUNDS; i++) {
            for (int engine = 0; engine < crashing; engine++) {
                fleet.endpoints().callEngine(engine, "POST", "/standin/crash", "{}");
            }
            Pause.ms(ROUND_MS);
        }
        load.stop();
        Pause.ms(DRAIN_MS);
        long requests = fleet.totalCounter("requests.received") - received;
        double share = (double) (fleet.totalCounter("requests.retries") - retries) / requests;
        table.add(name, crashing, requests, load.servedShare(), share);
    }
}
