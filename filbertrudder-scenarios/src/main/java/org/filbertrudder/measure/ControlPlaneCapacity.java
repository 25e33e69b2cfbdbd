package org.filbertrudder.measure;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.management.OperatingSystemMXBean;
import io.vertx.core.Vertx;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.filbertrudder.entry.EntryInstance;
import org.filbertrudder.entry.EntrySettings;
import org.filbertrudder.entry.OperatorCredential;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.Inventory;
import org.filbertrudder.model.Json;
import org.filbertrudder.model.OperatorRole;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.peer.PeerSecurity;
import org.filbertrudder.policy.membership.PeerAddress;
import org.filbertrudder.scenarios.Deployment;
import org.filbertrudder.scenarios.LoopbackHttpClient;
import org.filbertrudder.scenarios.Reply;
import org.filbertrudder.standins.PlatformStandIn;

/** Measures the control traffic, CPU time, memory and store calls of idle instances. */
final class ControlPlaneCapacity implements Experiment {

    private static final int[] INSTANCE_COUNTS = {8, 32, 96};
    private static final long WARM_UP_MS = 15_000;
    private static final long MEASUREMENT_MS = 10_000;
    private static final int CHANGE_COUNT = 20;
    private static final String OPERATOR_TOKEN = "measure";

    @Override
    public Table run(long seed) {
        Table table =
                new Table(
                        "instances",
                        "bytes_per_second",
                        "messages_per_second",
                        "cpu_percent_of_core",
                        "heap_mb",
                        "store_reads_per_second",
                        "store_writes_per_second",
                        "open_watches",
                        "change_in_force_ms");
        for (int instanceCount : INSTANCE_COUNTS) {
            measure(table, instanceCount);
        }
        return table;
    }

    private static void measure(Table table, int instanceCount) {
        Vertx vertx = Vertx.vertx();
        LoopbackHttpClient http = new LoopbackHttpClient();
        PlatformStandIn platform = new PlatformStandIn(vertx, 500);
        int port = platform.listen(0).toCompletionStage().toCompletableFuture().join();
        long heapBefore = HeapUsage.usedBytes();
        List<EntryInstance> instances = startInstances(instanceCount, port, http);
        applyInventory(instances.get(0), http, 0);
        Pause.sleepMs(WARM_UP_MS);
        long heapKb = (HeapUsage.usedBytes() - heapBefore) / instanceCount / 1_000;
        Totals before = readTotals(instances, http, port);
        Pause.sleepMs(MEASUREMENT_MS);
        Totals after = readTotals(instances, http, port);
        double seconds = (after.atNs() - before.atNs()) / 1e9;
        double propagationMs = measureMeanPropagationMs(instances, http);
        table.add(
                instanceCount,
                (after.bytes() - before.bytes()) / seconds / instanceCount,
                (after.messages() - before.messages()) / seconds / instanceCount,
                (after.cpuNs() - before.cpuNs()) / 1e9 / seconds / instanceCount * 100,
                heapKb / 1e3,
                (after.reads() - before.reads()) / seconds,
                (after.writes() - before.writes()) / seconds,
                after.openWatches(),
                propagationMs);
        List<CompletableFuture<Void>> shutdowns = new ArrayList<>();
        instances.forEach(instance -> shutdowns.add(instance.shutDown()));
        shutdowns.forEach(CompletableFuture::join);
        http.close();
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private static List<EntryInstance> startInstances(
            int instanceCount, int platformPort, LoopbackHttpClient http) {
        List<EntryInstance> instances = new ArrayList<>();
        for (int i = 0; i < instanceCount; i++) {
            PeerAddress platform = new PeerAddress("127.0.0.1", platformPort);
            String region = Deployment.BUREAU.regions().get(i % 3);
            List<PeerAddress> seeds =
                    instances.stream()
                            .limit(3)
                            .map(instance -> new PeerAddress("127.0.0.1", instance.peerPort()))
                            .toList();
            EntrySettings settings =
                    new EntrySettings(
                            InstanceId.of("instance-" + i),
                            RegionId.of(region),
                            FailureDomainId.of(Deployment.failureDomain(region, i / 3)),
                            "127.0.0.1",
                            0,
                            0,
                            0,
                            0,
                            platform,
                            platform,
                            seeds,
                            List.of(
                                    OperatorCredential.of(
                                            "measure", OperatorRole.OPERATE, OPERATOR_TOKEN)),
                            PeerSecurity.plainText(),
                            null,
                            1_000_000,
                            1,
                            1_000);
            EntryInstance instance = EntryInstance.start(settings).join();
            instances.add(instance);
            String body =
                    String.format(
                            "{\"id\":\"instance-%d\",\"state\":\"LIVE\","
                                    + "\"address\":\"127.0.0.1:%d\"}",
                            i, instance.peerPort());
            http.send("PUT", platformPort, "/standin/live/instance-" + i, Map.of(), body);
        }
        return instances;
    }

    private static long applyInventory(
            EntryInstance instance, LoopbackHttpClient http, int variant) {
        Inventory inventory =
                Deployment.BUREAU.inventory(List.of(1, 2, 3 + variant), List.of(4, 5, 6), 8);
        Reply reply =
                http.send(
                        "PUT",
                        instance.adminPort(),
                        "/admin/v1/inventory",
                        authorizationHeader(),
                        inventory.toYaml());
        if (reply.status() != 200) {
            throw new IllegalStateException("The inventory was rejected: " + reply.body());
        }
        return reply.json().path("revision").asLong();
    }

    private static Map<String, String> authorizationHeader() {
        return Map.of("authorization", "Bearer " + OPERATOR_TOKEN);
    }

    /** Returns the mean time in ms from the acceptance of a change until all instances apply it. */
    private static double measureMeanPropagationMs(
            List<EntryInstance> instances, LoopbackHttpClient http) {
        long totalNs = 0;
        for (int i = 1; i <= CHANGE_COUNT; i++) {
            long revision = applyInventory(instances.get(i % instances.size()), http, i);
            long startNs = System.nanoTime();
            while (!instances.stream().allMatch(instance -> instance.revision() >= revision)) {
                Pause.sleepMs(1);
            }
            totalNs += System.nanoTime() - startNs;
        }
        return totalNs / 1e6 / CHANGE_COUNT;
    }

    private static Totals readTotals(
            List<EntryInstance> instances, LoopbackHttpClient http, int platformPort) {
        long bytes = 0;
        long messages = 0;
        for (EntryInstance instance : instances) {
            Reply reply =
                    http.send(
                            "GET",
                            instance.adminPort(),
                            "/admin/v1/dump",
                            authorizationHeader(),
                            null);
            var traffic = reply.json().path("control").path("peerTraffic");
            bytes += traffic.path("bytesSent").asLong();
            messages += traffic.path("messagesSent").asLong();
        }
        Reply storeCalls = http.send("GET", platformPort, "/standin/calls", Map.of(), null);
        var callStats = Json.read(storeCalls.body(), JsonNode.class);
        long cpuNs =
                ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                        .getProcessCpuTime();
        return new Totals(
                System.nanoTime(),
                bytes,
                messages,
                cpuNs,
                callStats.path("reads").asLong(),
                callStats.path("writes").asLong(),
                callStats.path("watching").asLong());
    }

    private record Totals(
            long atNs,
            long bytes,
            long messages,
            long cpuNs,
            long reads,
            long writes,
            long openWatches) {}
}
