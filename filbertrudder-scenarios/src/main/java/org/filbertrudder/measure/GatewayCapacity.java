package org.filbertrudder.measure;

import java.nio.file.Path;
import java.util.List;
import org.filbertrudder.scenarios.Deployment;
import org.filbertrudder.scenarios.Fleet;
import org.filbertrudder.scenarios.FleetOptions;
import org.filbertrudder.scenarios.ManagedProcess;

/** Measures the latency that an instance adds to a direct request, and its cost per request. */
final class GatewayCapacity implements Experiment {

    private static final int[] CALLER_COUNTS = {1, 4, 8};
    private static final int ENGINE_SLOTS = 8;
    private static final int ENGINE_TOKENS_PER_SECOND = 1_000;
    private static final int WARM_UP_REQUESTS = 3_000;
    private static final int MEASURED_REQUESTS = 4_000;

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
            for (int callers : CALLER_COUNTS) {
                measure(table, fleet, callers);
            }
        }
        return table;
    }

    private static void measure(Table table, Fleet fleet, int callers) {
        String id = "mtl-1";
        String apiKey = fleet.apiKeyOf("federation");
        String directUrl =
                "http://127.0.0.1:" + fleet.endpoints().enginePort(0) + "/v1/chat/completions";
        String gatewayUrl =
                "http://127.0.0.1:" + fleet.process(id).port("callers") + "/v1/chat/completions";
        runLoad(fleet, gatewayUrl, apiKey, callers, WARM_UP_REQUESTS);
        runLoad(fleet, directUrl, apiKey, callers, WARM_UP_REQUESTS);
        addRow(
                table,
                callers,
                "direct",
                runLoad(fleet, directUrl, apiKey, callers, MEASURED_REQUESTS),
                0,
                0);
        ManagedProcess process = fleet.process(id);
        long cpuMsBefore = process.cpuTimeMs();
        String output = runLoad(fleet, gatewayUrl, apiKey, callers, MEASURED_REQUESTS);
        double cpuUs = (process.cpuTimeMs() - cpuMsBefore) * 1e3 / MEASURED_REQUESTS;
        addRow(table, callers, "gateway", output, cpuUs, process.residentMb());
    }

    private static String runLoad(
            Fleet fleet, String url, String apiKey, int callers, int requests) {
        return fleet.runLoadGenerator(
                List.of(
                        "--url",
                        url,
                        "--key",
                        apiKey,
                        "--callers",
                        Integer.toString(callers),
                        "--requests",
                        Integer.toString(requests)));
    }

    private static void addRow(
            Table table, int callers, String path, String output, double cpuUs, double rssMb) {
        table.add(
                callers,
                path,
                valueOf(output, "per_second"),
                valueOf(output, "p50_ms"),
                valueOf(output, "p99_ms"),
                valueOf(output, "failed"),
                cpuUs,
                rssMb);
    }

    private static double valueOf(String output, String name) {
        for (String assignment : output.trim().split(" ")) {
            if (assignment.startsWith(name + "=")) {
                return Double.parseDouble(assignment.substring(name.length() + 1));
            }
        }
        throw new IllegalStateException(
                "The output of the load generator has no such value: " + output);
    }
}
