package org.filbertrudder.scenarios;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

/** Sends requests in a closed loop without pauses and counts the tokens of the responses. */
final class OverloadRun {

    private static final int CALLERS_PER_INSTANCE = 6;
    private static final int STATUS_OK = 200;

    private final AtomicLong mTokens = new AtomicLong();
    private double mSeconds;

    private OverloadRun() {}

    /** Sends requests through all instances for the given time and waits for the last responses. */
    static OverloadRun run(Fleet fleet, String apiKey, int seconds, int tokens) {
        OverloadRun run = new OverloadRun();
        long startNs = System.nanoTime();
        long deadlineNs = startNs + seconds * 1_000_000_000L;
        List<CompletableFuture<Void>> callers = new ArrayList<>();
        for (String id : fleet.instanceIds()) {
            for (int i = 0; i < CALLERS_PER_INSTANCE; i++) {
                callers.add(run.send(fleet, id, apiKey, tokens, deadlineNs));
            }
        }
        callers.forEach(CompletableFuture::join);
        run.mSeconds = (System.nanoTime() - startNs) / 1e9;
        return run;
    }

    private CompletableFuture<Void> send(
            Fleet fleet, String id, String apiKey, int tokens, long deadlineNs) {
        if (System.nanoTime() >= deadlineNs) {
            return CompletableFuture.completedFuture(null);
        }
        return fleet.sendChat(id, apiKey, "Flood", tokens, false)
                .thenAccept(this::countTokens)
                .thenCompose(ignored -> send(fleet, id, apiKey, tokens, deadlineNs));
    }

    private void countTokens(Reply reply) {
        if (reply.status() == STATUS_OK) {
            mTokens.addAndGet(reply.json().path("usage").path("total_tokens").asLong());
        }
    }

    /** Returns the total number of tokens of all successful responses. */
    long tokens() {
        return mTokens.get();
    }

    /** Returns the time in seconds from the first request to the last response. */
    double seconds() {
        return mSeconds;
    }
}
