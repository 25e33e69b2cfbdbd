package org.filbertrudder.scenarios.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Runs gateway processes in two regions under a short load, so that one of them leaves an archive
 * of the classes that starts and requests need.
 */
public final class ClassArchiveTraining {

    private static final String REGION = "mtl";
    private static final String OTHER_REGION = "sag";
    private static final String API_KEY = "key-club";
    private static final String OTHER_REGION_API_KEY = "key-home";
    private static final int SLOTS = 8;
    private static final double TOKENS_PER_SECOND = 100_000;
    private static final int ROUNDS = 3;

    private ClassArchiveTraining() {}

    /**
     * Runs the processes until the archive is written.
     *
     * @param arguments the path of the jar as starts name it, the path of the archive, and a
     *     directory for settings and logs
     */
    public static void main(String[] arguments) throws IOException {
        Path directory = Files.createDirectories(Path.of(arguments[2]));
        try (PlatformFleet fleet = new PlatformFleet(REGION, OTHER_REGION)) {
            fleet.setRatePerSecond(TOKENS_PER_SECOND);
            fleet.writeConfiguration(true);
            startReplicas(fleet);
            record(fleet, directory, arguments[0], arguments[1]);
        }
        // Threads of the HTTP clients would keep the process alive.
        System.exit(0);
    }

    private static void record(PlatformFleet fleet, Path directory, String jar, String archive) {
        try (GatewayProcess recorded = create(fleet, 1, REGION, directory);
                GatewayProcess neighbour = create(fleet, 2, REGION, directory);
                GatewayProcess remote = create(fleet, 3, OTHER_REGION, directory)) {
            recorded.start(jar, List.of("-XX:ArchiveClassesAtExit=" + archive));
            neighbour.start(jar, List.of());
            remote.start(jar, List.of());
            for (GatewayProcess process : List.of(recorded, neighbour, remote)) {
                PlatformFleet.await(process.id() + " is ready", process::isReady);
            }
            for (int i = 0; i < ROUNDS; i++) {
                call(recorded.callerClient());
                call(remote.callerClient());
                fleet.writeConfiguration(true);
            }
            recorded.signal("HUP");
            recorded.terminate();
            recorded.awaitExit();
        }
    }

    private static void startReplicas(PlatformFleet fleet) {
        for (String region : List.of(REGION, OTHER_REGION)) {
            fleet.startReplica("pool-" + region, PlatformFleet.MODEL_SERVICE, region, SLOTS);
            fleet.startReplica("desk-" + region, PlatformFleet.BOOKING_SERVICE, region, SLOTS);
        }
    }

    private static GatewayProcess create(
            PlatformFleet fleet, int number, String region, Path directory) {
        return new GatewayProcess(
                "training-" + number,
                host(number),
                region,
                List.of(host(1)),
                fleet.storePort(),
                directory);
    }

    /** Returns a loopback address of this process only, so that two builds do not collide. */
    private static String host(int number) {
        long pid = ProcessHandle.current().pid();
        return "127." + (1 + pid / 256 % 254) + "." + pid % 256 + "." + number;
    }

    /** Sends a request of each kind, also ones that are forwarded or refused. */
    private static void call(PlatformClient client) {
        for (String path : List.of("/chat/x", "/digest/x", "/label/x")) {
            client.sendStream(path, API_KEY, "part");
            client.sendStream(path, OTHER_REGION_API_KEY, "part");
        }
        client.resumeStream("/digest/x", API_KEY, 1);
        client.sendPlain("GET", "/stock/x", API_KEY);
        client.sendPlain("GET", "/stock/x", OTHER_REGION_API_KEY);
        client.sendPlain("POST", "/book/x", API_KEY);
        client.sendPlain("GET", "/open/x", null);
        client.sendPlain("GET", "/stock/x", "no-key");
        client.sendPlain("GET", "/no-route/x", API_KEY);
    }
}
