package org.filbertrudder.measure;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.management.OperatingSystemMXBean;
import io.vertx.core.Vertx;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.filbertrudder.entry.Entry;
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

/** Measures the control traffic, processor time and store calls of idle instances. */
final class ControlCapacity implements Experiment {

    private static final int[] SIZES = {8, 32, 96};
    private static final long SETTLE_MS = 15_000;
    private static final long WINDOW_MS = 10_000;
    private static final int CHANGES = 20;
    private static final String TOKEN = "measure";

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
                        "waiting_watches",
                        "change_in_force_ms");
        for (int size : SIZES) {
            measure(table, size);
        }
        return table;
    }

    private static void measure(Table table, int size) {
        Vertx vertx = Vertx.vertx();
        LoopbackHttpClient http = new LoopbackHttpClient();
        PlatformStandIn platform = new PlatformStandIn(vertx, 500);
        int port = platform.listen(0).toCompletionStage().toCompletableFuture().join();
        long heapBefore = HeapGauge.usedBytes();
        List<Entry> entries = startEntries(size, port, http);
        apply(entries.get(0), http, 0);
        Pause.ms(SETTLE_MS);
        long heapMb = (HeapGauge.usedBytes() - heapBefore) / size / 1_000;
        Totals before = totals(entries, http, port);
        Pause.ms(WINDOW_MS);
        Totals after = totals(entries, http, port);
        double seconds = (after.atNs() - before.atNs()) / 1e9;
        double inForceMs = changes(entries, http);
        table.add(
                size,
                (after.bytes() - before.bytes()) / seconds / size,
                (after.messages() - before.messages()) / seconds / size,
                (after.cpuNs() - before.cpuNs()) / 1e9 / seconds / size * 100,
                heapMb / 1e3,
                (after.reads() - before.reads()) / seconds,
                (after.writes() - before.writes()) / seconds,
                after.watching(),
                inForceMs);
        List<CompletableFuture<Void>> stops = new ArrayList<>();
        entries.forEach(entry -> stops.add(entry.shutDown()));
        stops.forEach(CompletableFuture::join);
        http.close();
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private static List<Entry> startEntries(int size, int platformPort, LoopbackHttpClient http) {
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            PeerAddress platform = new PeerAddress("127.0.0.1", platformPort);
            String region = Deployment.BUREAU.regions().get(i % 3);
            List<PeerAddress> seeds =
                    entries.stream()
                            .limit(3)
                            .map(entry -> new PeerAddress("127.0.0.1", entry.peerPort()))
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
                            List.of(OperatorCredential.of("measure", OperatorRole.OPERATE, TOKEN)),
                            PeerSecurity.plain(),
                            null,
                            1_000_000,
                            1,
                            1_000);
            Entry entry = Entry.start(settings).join();
            entries.add(entry);
            String body =
                    String.format(
                            "{\"id\":\"instance-%d\",\"state\":\"LIVE\","
                                    + "\"address\":\"127.0.0.1:%d\"}",
                            i, entry.peerPort());
            http.send("PUT", platformPort, "/standin/live/instance-" + i, Map.of(), body);
        }
        return entries;
    }

    private static long apply(Entry entry, LoopbackHttpClient http, int variant) {
        Inventory inventory =
                Deployment.BUREAU.inventory(List.of(1, 2, 3 + variant), List.of(4, 5, 6), 8);
        Reply reply =
                http.send(
                        "PUT",
                        entry.adminPort(),
                        "/admin/v1/inventory",
                        auth(),
                        inventory.toYaml());
        if (reply.status() != 200) {
            throw new IllegalStateException("The inventory was refused: " + reply.body());
        }
        return reply.json().path("revision").asLong();
    }

    private static Map<String, String> auth() {
        return Map.of("authorization", "Bearer " + TOKEN);
    }

    /** Returns the mean time from acceptance until all instances show a revision. */
    private static double changes(List<Entry> entries, LoopbackHttpClient http) {
        long totalNs = 0;
        for (int i = 1; i <= CHANGES; i++) {
            long revision = apply(entries.get(i % entries.size()), http, i);
            long startNs = System.nanoTime();
            while (!entries.stream().allMatch(entry -> entry.revision() >= revision)) {
                Pause.ms(1);
            }
            totalNs += System.nanoTime() - startNs;
        }
        return totalNs / 1e6 / CHANGES;
    }

    private static Totals totals(List<Entry> entries, LoopbackHttpClient http, int platformPort) {
        long bytes = 0;
        long messages = 0;
        for (Entry entry : entries) {
            Reply reply = http.send("GET", entry.adminPort(), "/admin/v1/dump", auth(), null);
            var traffic = reply.json().path("control").path("peerTraffic");
            bytes += traffic.path("bytesSent").asLong();
            messages += traffic.path("messagesSent").asLong();
        }
        Reply calls = http.send("GET", platformPort, "/standin/calls", Map.of(), null);
        var json = Json.read(calls.body(), JsonNode.class);
        long cpuNs =
                ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                        .getProcessCpuTime();
        return new Totals(
                System.nanoTime(),
                bytes,
                messages,
                cpuNs,
                json.path("reads").asLong(),
                json.path("writes").asLong(),
                json.path("watching").asLong());
    }

    private record Totals(
            long atNs,
            long bytes,
            long messages,
            long cpuNs,
            long reads,
            long writes,
            long watching) {}
}
