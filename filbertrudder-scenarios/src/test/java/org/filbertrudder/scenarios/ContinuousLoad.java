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

/** Sends short requests in a closed loop; each caller uses the instances in turn. */
final class ContinuousLoad {

    private static final int CALLERS = 12;
    private static final int STATUS_OK = 200;
    private static final String CONNECTION_REFUSED = "Connection refused";

    private final Fleet mFleet;
    private final String mApiKey;
    private final AtomicBoolean mStopped = new AtomicBoolean();
    private final AtomicInteger mSuccessCount = new AtomicInteger();
    private final Queue<String> mFailures = new ConcurrentLinkedQueue<>();
    private final Set<String> mClosingInstances = ConcurrentHashMap.newKeySet();
    private final List<CompletableFuture<Void>> mCallers = new ArrayList<>();

    private ContinuousLoad(Fleet fleet, String apiKey) {
        mFleet = fleet;
        mApiKey = apiKey;
    }

    /** Starts the callers. */
    static ContinuousLoad start(Fleet fleet, String apiKey) {
        ContinuousLoad load = new ContinuousLoad(fleet, apiKey);
        for (int i = 0; i < CALLERS; i++) {
            load.mCallers.add(load.sendNext(i));
        }
        return load;
    }

    private CompletableFuture<Void> sendNext(int turn) {
        if (mStopped.get()) {
            return CompletableFuture.completedFuture(null);
        }
        List<String> candidates =
                mFleet.instanceIds().stream()
                        .filter(id -> !mClosingInstances.contains(id))
                        .toList();
        String id = candidates.get(Math.floorMod(turn, candidates.size()));
        return mFleet.sendChat(id, mApiKey, "Short question", 3, false)
                .thenAccept(reply -> recordReply(id, reply))
                .thenComposeAsync(ignored -> sendNext(turn + 1));
    }

    /**
     * Records a reply. A caller does not use an instance again after {@code Connection: close}, and
     * moves on to the next one if an instance refuses the connection; neither counts as a failure.
     */
    private void recordReply(String id, Reply reply) {
        if ("close".equals(reply.headers().get("connection"))) {
            mClosingInstances.add(id);
        }
        if (reply.status() == STATUS_OK) {
            mSuccessCount.incrementAndGet();
        } else if (reply.status() != 0 || !reply.body().contains(CONNECTION_REFUSED)) {
            mFailures.add(id + ": " + reply.status() + " " + reply.body());
        }
    }

    /** Stops the callers and waits for their last replies. */
    void stop() {
        mStopped.set(true);
        mCallers.forEach(CompletableFuture::join);
    }

    int successCount() {
        return mSuccessCount.get();
    }

    List<String> failures() {
        return List.copyOf(mFailures);
    }
}
