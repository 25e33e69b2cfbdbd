package org.filbertrudder.scenarios;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Sends short requests one after the other, as callers do that know all instances. */
final class SteadyLoad {

    private static final int CALLERS = 12;
    private static final int STATUS_OK = 200;
    private static final String REFUSED_CONNECTION = "Connection refused";

    private final Fleet mFleet;
    private final String mKey;
    private final AtomicBoolean mStopped = new AtomicBoolean();
    private final AtomicInteger mAnswered = new AtomicInteger();
    private final Queue<String> mFailures = new ConcurrentLinkedQueue<>();
    private final Set<String> mLeaving = ConcurrentHashMap.newKeySet();
    private final List<CompletableFuture<Void>> mCallers = new ArrayList<>();

    private SteadyLoad(Fleet fleet, String key) {
        mFleet = fleet;
        mKey = key;
    }

    /** Starts the callers. */
    static SteadyLoad start(Fleet fleet, String key) {
        SteadyLoad load = new SteadyLoad(fleet, key);
        for (int i = 0; i < CALLERS; i++) {
            load.mCallers.add(load.sendNext(i));
        }
        return load;
    }

    private CompletableFuture<Void> sendNext(int choice) {
        if (mStopped.get()) {
            return CompletableFuture.completedFuture(null);
        }
        List<String> entries =
                mFleet.entries().stream().filter(id -> !mLeaving.contains(id)).toList();
        String id = entries.get(Math.floorMod(choice, entries.size()));
        return mFleet.chat(id, mKey, "Short question", 3, false)
                .thenAccept(reply -> note(id, reply))
                .thenComposeAsync(done -> sendNext(choice + 1));
    }

    /**
     * Notes an answer. A caller leaves an instance that closes its connections for the next one,
     * and also one that does not listen.
     */
    private void note(String id, Reply reply) {
        if ("close".equals(reply.headers().get("connection"))) {
            mLeaving.add(id);
        }
        if (reply.status() == STATUS_OK) {
            mAnswered.incrementAndGet();
        } else if (reply.status() != 0 || !reply.body().contains(REFUSED_CONNECTION)) {
            mFailures.add(id + ": " + reply.status() + " " + reply.body());
        }
    }

    /** Stops the callers and waits for their last answers. */
    void stop() {
        mStopped.set(true);
        mCallers.forEach(CompletableFuture::join);
    }

    int answered() {
        return mAnswered.get();
    }

    List<String> failures() {
        return List.copyOf(mFailures);
    }
}
