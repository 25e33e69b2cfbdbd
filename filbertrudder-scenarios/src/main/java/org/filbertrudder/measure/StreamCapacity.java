package org.filbertrudder.measure;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.filbertrudder.scenarios.Deployment;
import org.filbertrudder.scenarios.Fleet;
import org.filbertrudder.scenarios.FleetOptions;
import org.filbertrudder.scenarios.ManagedProcess;
import org.filbertrudder.scenarios.Reply;

/** Measures the memory and CPU time of one instance with many open streams. */
final class StreamCapacity implements Experiment {

    private static final int[] STREAM_COUNTS = {500, 2_000, 5_000, 10_000};
    private static final int ENGINE_TOKENS_PER_SECOND = 1;
    private static final int TOKENS_PER_STREAM = 25;
    private static final int ENGINE_SLOTS = 4_000;
    private static final long MEASUREMENT_MS = 5_000;
    private static final long OPEN_TIMEOUT_MS = 30_000;

    @Override
    public Table run(long seed) {
        Path logDirectory =
                Path.of(System.getProperty("filbertrudder.root", "."), "build", "streams");
        Table table =
                new Table(
                        "open_streams",
                        "tokens_per_second",
                        "cpu_us_per_token",
                        "heap_mb",
                        "resident_mb",
                        "completed");
        FleetOptions options =
                FleetOptions.of(1).withEngines(ENGINE_TOKENS_PER_SECOND, ENGINE_SLOTS);
        try (Fleet fleet = Fleet.start(Deployment.BUREAU, options, logDirectory)) {
            fleet.awaitShardOwnership();
            fleet.scaleContracts(1e9);
            for (int streams : STREAM_COUNTS) {
                measure(table, fleet, streams);
            }
        }
        return table;
    }

    private static void measure(Table table, Fleet fleet, int streams) {
        String id = fleet.anyRunningInstance();
        String apiKey = fleet.apiKeyOf("federation");
        List<CompletableFuture<Reply>> replies = new ArrayList<>();
        for (int i = 0; i < streams; i++) {
            replies.add(fleet.sendChat(id, apiKey, "Stream " + i, TOKENS_PER_STREAM, true));
        }
        Fleet.await(
                streams + " open streams",
                OPEN_TIMEOUT_MS,
                () -> runningRequests(fleet.dump(id)) + completedReplies(replies) >= streams);
        ManagedProcess process = fleet.process(id);
        long tokensBefore = generatedTokens(fleet);
        long cpuMsBefore = process.cpuTimeMs();
        long startNs = System.nanoTime();
        Pause.sleepMs(MEASUREMENT_MS);
        double tokens = generatedTokens(fleet) - tokensBefore;
        double cpuUs = (process.cpuTimeMs() - cpuMsBefore) * 1e3;
        double seconds = (System.nanoTime() - startNs) / 1e9;
        double heapMb = fleet.dump(id).path("heapBytes").asLong() / 1e6;
        long openStreams = runningRequests(fleet.dump(id));
        double residentMb = process.residentMb();
        long completed =
                replies.stream()
                        .map(CompletableFuture::join)
                        .filter(reply -> reply.body().endsWith("data: [DONE]\n\n"))
                        .count();
        table.add(openStreams, tokens / seconds, cpuUs / tokens, heapMb, residentMb, completed);
    }

    private static long runningRequests(JsonNode dump) {
        return dump.path("metrics").path("requests.running").asLong();
    }

    private static long completedReplies(List<CompletableFuture<Reply>> replies) {
        return replies.stream().filter(CompletableFuture::isDone).count();
    }

    private static long generatedTokens(Fleet fleet) {
        return fleet.endpoints().engineStats().stream()
                .mapToLong(stats -> stats.path("tokens").asLong())
                .sum();
    }
}
