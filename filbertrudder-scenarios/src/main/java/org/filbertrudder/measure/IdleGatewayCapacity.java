package org.filbertrudder.measure;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.filbertrudder.scenarios.platform.PlatformFleet;

/** Measures the messages, bytes and CPU time of each idle gateway instance. */
final class IdleGatewayCapacity implements Experiment {

    private static final int[] INSTANCE_COUNTS = {8, 30, 95};
    private static final List<String> REGIONS = List.of("mtl", "sag", "gas");
    private static final int ENGINE_COUNT = 36;
    private static final int ENGINE_SLOTS = 64;
    private static final long WARM_UP_MS = 8_000;
    private static final long MEASUREMENT_MS = 10_000;

    @Override
    public Table run(long seed) {
        Table table =
                new Table(
                        "instances",
                        "control_messages_per_second",
                        "control_bytes_per_second",
                        "load_messages_per_second",
                        "load_bytes_per_second",
                        "cpu_percent_of_core");
        for (int instanceCount : INSTANCE_COUNTS) {
            measure(table, instanceCount);
        }
        return table;
    }

    private static void measure(Table table, int instanceCount) {
        try (PlatformFleet fleet = new PlatformFleet(REGIONS.toArray(String[]::new))) {
            fleet.writeConfiguration(true);
            for (int i = 0; i < ENGINE_COUNT; i++) {
                String region = REGIONS.get(i % REGIONS.size());
                fleet.startReplica("pool-" + i, PlatformFleet.MODEL_SERVICE, region, ENGINE_SLOTS);
            }
            List<String> instances = new ArrayList<>();
            for (int i = 0; i < instanceCount; i++) {
                instances.add("instance-" + i);
                fleet.startGateway(instances.get(i), REGIONS.get(i % REGIONS.size()));
            }
            Pause.sleepMs(WARM_UP_MS);
            Totals before = readTotals(fleet, instances);
            Pause.sleepMs(MEASUREMENT_MS);
            Totals after = readTotals(fleet, instances);
            double instanceSeconds = (after.atNs() - before.atNs()) / 1e9 * instanceCount;
            table.add(
                    instanceCount,
                    (after.controlMessages() - before.controlMessages()) / instanceSeconds,
                    (after.controlBytes() - before.controlBytes()) / instanceSeconds,
                    (after.loadMessages() - before.loadMessages()) / instanceSeconds,
                    (after.loadBytes() - before.loadBytes()) / instanceSeconds,
                    (after.cpuNs() - before.cpuNs()) / 1e9 / instanceSeconds * 100);
        }
    }

    private static Totals readTotals(PlatformFleet fleet, List<String> instances) {
        OperatingSystemMXBean operatingSystem =
                (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        Totals totals =
                new Totals(System.nanoTime(), operatingSystem.getProcessCpuTime(), 0, 0, 0, 0);
        for (String instance : instances) {
            String metrics = fleet.metrics(instance);
            totals =
                    new Totals(
                            totals.atNs(),
                            totals.cpuNs(),
                            totals.controlMessages()
                                    + metricValue(metrics, "control_messages_sent"),
                            totals.controlBytes() + metricValue(metrics, "control_bytes_sent"),
                            totals.loadMessages() + metricValue(metrics, "forwards_messages_sent"),
                            totals.loadBytes() + metricValue(metrics, "forwards_bytes_sent"));
        }
        return totals;
    }

    private static long metricValue(String metrics, String name) {
        Matcher matcher =
                Pattern.compile("filbertrudder_peer_" + name + " (\\d+)").matcher(metrics);
        if (!matcher.find()) {
            throw new IllegalStateException("Missing metric " + name + ".");
        }
        return Long.parseLong(matcher.group(1));
    }

    private record Totals(
            long atNs,
            long cpuNs,
            long controlMessages,
            long controlBytes,
            long loadMessages,
            long loadBytes) {}
}
