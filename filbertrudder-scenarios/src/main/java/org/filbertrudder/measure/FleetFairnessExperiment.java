package org.filbertrudder.measure;

import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.filbertrudder.scenarios.Deployment;
import org.filbertrudder.scenarios.Fleet;
import org.filbertrudder.scenarios.FleetOptions;

/**
 * Measures on a fleet of processes how the overload by one large account affects the small
 * accounts.
 *
 * <p>The pool generates 1,600 tokens per second. Three small accounts request about 85 % of their
 * rates. The large one requests 28 % of its rate in the first phase and five times its rate in the
 * second, which is far more than the pool can generate.
 */
final class FleetFairnessExperiment implements Experiment {

    private static final int ENGINE_SLOTS = 4;
    private static final int ENGINE_TOKENS_PER_SECOND = 50;
    private static final double SMALL_REQUESTS_PER_SECOND = 9;
    private static final double REGULAR_REQUESTS_PER_SECOND = 30;
    private static final double OVERLOAD_REQUESTS_PER_SECOND = 530;
    private static final long PHASE_MS = 40_000;
    private static final long DRAIN_MS = 12_000;
    private static final List<String> SMALL_ACCOUNTS = List.of("club-north", "club-south", "youth");

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
                        "forwarded_share");
        FleetOptions options =
                FleetOptions.of(6).withEngines(ENGINE_TOKENS_PER_SECOND, ENGINE_SLOTS);
        Vertx vertx = Vertx.vertx();
        try (Fleet fleet = Fleet.start(Deployment.BUREAU, options, logDirectory)) {
            fleet.awaitShardOwnership();
            runPhase(table, vertx, fleet, "regular load", REGULAR_REQUESTS_PER_SECOND, seed);
            runPhase(table, vertx, fleet, "overload", OVERLOAD_REQUESTS_PER_SECOND, seed);
        }
        vertx.close();
        return table;
    }

    private static void runPhase(
            Table table,
            Vertx vertx,
            Fleet fleet,
            String name,
            double largeRequestsPerSecond,
            long seed) {
        long receivedBefore = fleet.totalCounter("requests.received");
        long forwardedBefore = fleet.totalCounter("requests.forwarded");
        List<StreamLoadGenerator> loads = new ArrayList<>();
        for (String account : SMALL_ACCOUNTS) {
            loads.add(
                    new StreamLoadGenerator(
                            vertx, fleet, account, SMALL_REQUESTS_PER_SECOND, seed));
        }
        loads.add(
                new StreamLoadGenerator(vertx, fleet, "federation", largeRequestsPerSecond, seed));
        loads.forEach(StreamLoadGenerator::start);
        Pause.sleepMs(PHASE_MS);
        loads.forEach(StreamLoadGenerator::stop);
        Pause.sleepMs(DRAIN_MS);
        double callerRequests =
                fleet.totalCounter("requests.received")
                        - receivedBefore
                        - (fleet.totalCounter("requests.forwarded") - forwardedBefore);
        double forwardedShare =
                (fleet.totalCounter("requests.forwarded") - forwardedBefore) / callerRequests;
        loads.forEach(load -> load.addResults(table, name, forwardedShare));
    }
}
