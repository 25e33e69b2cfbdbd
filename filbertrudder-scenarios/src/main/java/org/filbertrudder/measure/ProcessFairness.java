package org.filbertrudder.measure;

import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.filbertrudder.scenarios.Deployment;
import org.filbertrudder.scenarios.Fleet;
import org.filbertrudder.scenarios.FleetOptions;

/**
 * Measures on processes what a flood of one large account does to the small ones.
 *
 * <p>The pool writes 1,600 tokens a second. Three small accounts ask for about 85 % of their rates.
 * The large one asks for 28 % of its rate in the first phase and for five times its rate in the
 * second, which is far more than the pool can write.
 */
final class ProcessFairness implements Experiment {

    private static final int SLOTS = 4;
    private static final int TOKENS_PER_SECOND = 50;
    private static final double SMALL_PER_SECOND = 9;
    private static final double CALM_PER_SECOND = 30;
    private static final double FLOOD_PER_SECOND = 530;
    private static final long PHASE_MS = 40_000;
    private static final long DRAIN_MS = 12_000;
    private static final List<String> SMALL = List.of("club-north", "club-south", "youth");

    @Override
    public Table run(long seed) {
        Path logDirectory =
                Path.of(System.getProperty("filbertrudder.root", "."), "build", "fairness");
        Table table =
                new Table(
                        "phase",
                        "account",
                        "sent",
                        "served_share",
                        "first_token_p50_ms",
                        "first_token_p99_ms",
                        "sent_away_of_all");
        FleetOptions options = FleetOptions.of(6).withEngines(TOKENS_PER_SECOND, SLOTS);
        Vertx vertx = Vertx.vertx();
        try (Fleet fleet = Fleet.start(Deployment.BUREAU, options, logDirectory)) {
            fleet.awaitShardOwnership();
            phase(table, vertx, fleet, "calm", CALM_PER_SECOND, seed);
            phase(table, vertx, fleet, "flood", FLOOD_PER_SECOND, seed);
        }
        vertx.close();
        return table;
    }

    private static void phase(
            Table table, Vertx vertx, Fleet fleet, String name, double largePerSecond, long seed) {
        long received = fleet.totalCounter("requests.received");
        long forwarded = fleet.totalCounter("requests.forwarded");
        List<StreamLoad> loads = new ArrayList<>();
        for (String account : SMALL) {
            loads.add(new StreamLoad(vertx, fleet, account, SMALL_PER_SECOND, seed));
        }
        loads.add(new StreamLoad(vertx, fleet, "federation", largePerSecond, seed));
        loads.forEach(StreamLoad::start);
        Pause.ms(PHASE_MS);
        loads.forEach(StreamLoad::stop);
        Pause.ms(DRAIN_MS);
        double callers =
                fleet.totalCounter("requests.received")
                        - received
                        - (fleet.totalCounter("requests.forwarded") - forwarded);
        double away = (fleet.totalCounter("requests.forwarded") - forwarded) / callers;
        loads.forEach(load -> load.report(table, name, away));
    }
}
