package org.filbertrudder.measure;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.filbertrudder.scenarios.platform.PlatformFleet;

/** Measures what idle gateway instances cost: messages, bytes and processor time of each. */
final class FleetCapacity implements Experiment {

    private static final int[] SIZES = {8, 30, 95};
    private static final List<String> REGIONS = List.of("mtl", "sag", "gas");
    private static final int ENGINES = 36;
    private static final int ENGINE_SLOTS = 64;
    private static final long SETTLE_MS = 8_000;
    private static final long WINDOW_MS = 10_000;

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
        for (int size : SIZES) {
            measure(table, size);
        }
        return table;
    }

    private static void measure(Table table, int size) {
        try (PlatformFleet fleet = new PlatformFleet(REGIONS.toArray(String[]::new))) {
            fleet.writeConfiguration(true);
            for (int i = 0; i < ENGINES; i++) {
                String region = REGIONS.get(i % REGIONS.size());
                fleet.startReplica("pool-" + i, PlatformFleet.MODEL_SERVICE, region, ENGINE_SLOTS);
            }
            List<String> instances = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                instances.add("instance-" + i);
                fleet.startGateway(instances.get(i), REGIONS.get(i % REGIONS.size()));
            }
            Pause.ms(SETTLE_MS);
            Totals before = totals(fleet, instances);
            Pause.ms(WINDOW_MS);
            Totals after = totals(fleet, instances);
            double instanceSeconds = (after.atNs() - before.atNs()) / 1e9 * size;
            table.add(
                    size,
                    (after.controlMessages() - before.controlMessages()) / instanceSeconds,
                    (after.controlBytes() - before.controlBytes()) / instanceSeconds,
                    (after.loadMessages() - before.loadMessages()) / instanceSeconds,
                    (after.loadBytes() - before.loadBytes()) / instanceSeconds,
                    (after.cpuNs() - before.cpuNs()) / 1e9 / instanceSeconds * 100);
        }
    }

    private static Totals totals(PlatformFleet fleet, List<String> instances) {
        OperatingSystemMXBean system =
                (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        Totals sum = new Totals(System.nanoTime(), system.getProcessCpuTime(), 0, 0, 0, 0);
        for (String instance : instances) {
            String metrics = fleet.metrics(instance);
            sum =
                    new Totals(
                            sum.atNs(),
                            sum.cpuNs(),
                            sum.controlMessages() + value(metrics, "control_messages_sent"),
                            sum.controlBytes() + value(metrics, "control_bytes_sent"),
                            sum.loadMessages() + value(metrics, "forwards_messages_sent"),
                            sum.loadBytes() + value(metrics, "forwards_bytes_sent"));
        }
        return sum;
    }

    private static long value(String metrics, String name) {
        Matcher matcher =
                Pattern.compile("filbertrudder_peer_" + name + " (\\d+)").matcher(metrics);
        if (!matcher.find()) {
            throw new IllegalStateException("There is no metric " + name + ".");
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
