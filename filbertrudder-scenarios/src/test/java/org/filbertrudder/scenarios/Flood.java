package org.filbertrudder.scenarios;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

/** Sends as many requests as the callers can and counts the tokens of the answers. */
final class Flood {

    private static final int CALLERS_PER_INSTANCE = 6;
    private static final int STATUS_OK = 200;

    private final AtomicLong mTokens = new AtomicLong();
    private double mSeconds;

    private Flood() {}

    /** Floods all running instances for a time. */
    static Flood run(Fleet fleet, String key, int seconds, int tokens) {
        Flood flood = new Flood();
        long startNs = System.nanoTime();
        long untilNs = startNs + seconds * 1_000_000_000L;
        List<CompletableFuture<Void>> callers = new ArrayList<>();
        for (String id : fleet.entries()) {
            for (int i = 0; i < CALLERS_PER_INSTANCE; i++) {
                callers.add(flood.send(fleet, id, key, tokens, untilNs));
            }
        }
        callers.forEach(CompletableFuture::join);
        flood.mSeconds = (System.nanoTime() - startNs) / 1e9;
        return flood;
    }

    private CompletableFuture<Void> send(
            Fleet fleet, String id, String key, int tokens, long untilNs) {
        if (System.nanoTime() >= untilNs) {
            return CompletableFuture.completedFuture(null);
        }
        return fleet.chat(id, key, "Flood", tokens, false)
                .thenAccept(this::count)
                .thenCompose(done -> send(fleet, id, key, tokens, untilNs));
    }

    private void count(Reply reply) {
        if (reply.status() == STATUS_OK) {
            mTokens.addAndGet(reply.json().path("usage").path("total_tokens").asLong());
        }
    }

    /** Returns the tokens of all answers. */
    long tokens() {
        return mTokens.get();
    }

    /** Returns how long the flood lasted. */
    double seconds() {
        return mSeconds;
    }
}
