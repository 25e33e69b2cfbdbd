package org.filbertrudder.measure;

import java.nio.file.Path;
import java.util.List;
import org.filbertrudder.scenarios.Deployment;
import org.filbertrudder.scenarios.Fleet;
import org.filbertrudder.scenarios.FleetOptions;
import org.filbertrudder.scenarios.ManagedProcess;

/** Measures the latency that one instance adds beside a direct call, and its cost per request. */
final class GatewayCapacity implements Experiment {

    private static final int[] CALLERS = {1, 4, 8};
    private static final int ENGINE_SLOTS = 8;
    private static final int ENGINE_TOKENS_PER_SECOND = 1_000;
    private static final int WARM_UP = 3_000;
    private static final int REQUESTS = 4_000;

    @Override
    public Table run(long seed) {
        Path logDirectory =
                Path.of(System.getProperty("filbertrudder.root", "."), "build", "gateway");
        Table table =
                new Table(
                        "callers",
                        "path",
                        "per_second",
                        "p50_ms",
                        "p99_ms",
                        "failed",
                        "instance_cpu_us_per_request",
                        "instance_rss_mb");
        try (Fleet fleet =
                Fleet.start(
                        Deployment.BUREAU,
                        FleetOptions.of(3).withEngines(ENGINE_TOKENS_PER_SECOND, ENGINE_SLOTS),
                        logDirectory)) {
            fleet.awaitShardOwnership();
            fleet.scaleContracts(1e9);
            for (int callers : CALLERS) {
                measure(table, fleet, callers);
            }
        }
        return table;
    }

    private static void measure(Table table, Fleet fleet, int callers) {
        String id = "mtl-1";
        String key = fleet.apiKeyOf("federation");
        String direct =
                "http://127.0.0.1:" + fleet.endpoints().enginePort(0) + "/v1/chat/completions";
        String gateway =
                "http://127.0.0.1:" + fleet.process(id).port("callers") + "/v1/chat/completions";
        load(fleet, gateway, key, callers, WARM_UP);
        load(fleet, direct, key, callers, WARM_UP);
        add(table, callers, "direct", load(fleet, direct, key, callers, REQUESTS), 0, 0);
        ManagedProcess process = fleet.process(id);
        long before = process.cpuTimeMs();
        String result = load(fleet, gateway, key, callers, REQUESTS);
        double cpuUs = (process.cpuTimeMs() - before) * 1e3 / REQUESTS;
        add(table, callers, "gateway", result, cpuUs, process.residentMb());
    }

    private static String load(Fleet fleet, String url, String key, int callers, int requests) {
        return fleet.runLoadGenerator(
                List.of(
                        "--url",
                        url,
                        "--key",
                        key,
                        "--callers",
                        Integer.toString(callers),
                        "--requests",
                        Integer.toString(requests)));
    }

    private static void add(
            Table table, int callers, String path, String result, double cpuUs, double rssMb) {
        table.add(
                callers,
                path,
                value(result, "per_second"),
                value(result, "p50_ms"),
                value(result, "p99_ms"),
                value(result, "failed"),
                cpuUs,
                rssMb);
    }

    private static double value(String result, String name) {
        for (String part : result.trim().split(" ")) {
            if (part.startsWith(name + "=")) {
                return Double.parseDouble(part.substring(name.length() + 1));
            }
        }
        throw new IllegalStateException("The load tool printed: " + result);
    }
}
