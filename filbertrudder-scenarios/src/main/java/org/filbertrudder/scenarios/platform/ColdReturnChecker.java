package org.filbertrudder.scenarios.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import org.filbertrudder.standins.platform.ArrivalLog;
import org.filbertrudder.standins.platform.ReplicaStandIn;

/**
 * Lets replicas of the model service return cold under their ids, and checks the platform's rule
 * FAILBACK: a cold replica gets at most one and a half times its warm-up rate, and 3 requests more,
 * in one second from all instances together.
 */
final class ColdReturnChecker {

    private static final long SECOND_MS = 1_000;
    private static final long WARMUP_MS = 3_000;
    private static final int ALLOWED = (int) (PlatformFleet.WARMUP_PER_SECOND * 1.5 + 3);

    private final List<ColdReturn> mReturns = new CopyOnWriteArrayList<>();

    private record ColdReturn(String id, ReplicaStandIn replica, long atMs) {}

    /** Makes a replica refuse connections during a pause; it then returns as a new process. */
    void returnCold(String id, ReplicaStandIn replica, Runnable pause) {
        replica.refuseConnections();
        pause.run();
        // At the end of the load the pause is interrupted, so the replica was never away.
        boolean wasAway = !Thread.currentThread().isInterrupted();
        replica.acceptConnections();
        if (wasAway) {
            mReturns.add(new ColdReturn(id, replica, ArrivalLog.nowMs()));
        }
        replica.register("ready", WARMUP_MS, System.currentTimeMillis());
    }

    /** Returns a description of each return after which a replica got too many requests. */
    List<String> violations() {
        List<String> violations = new ArrayList<>();
        for (ColdReturn each : mReturns) {
            long warmMs = each.atMs() + WARMUP_MS;
            int most =
                    each.replica()
                            .arrivals()
                            .maxWithin(SECOND_MS, each.atMs(), arrival -> arrival.atMs() < warmMs);
            if (most > ALLOWED) {
                violations.add(
                        String.format(
                                Locale.ROOT,
                                "FAILBACK: %s got %d requests in one second while cold; %d allowed;"
                                        + " arrivals after its return at %d ms: %s; crashes: %s",
                                each.id(),
                                most,
                                ALLOWED,
                                each.atMs(),
                                describe(each.replica().arrivals(), each.atMs(), warmMs),
                                describe(each.replica().crashes(), each.atMs(), warmMs)));
            }
        }
        return violations;
    }

    private static List<String> describe(ArrivalLog log, long fromMs, long untilMs) {
        return log.all().stream()
                .filter(each -> each.atMs() >= fromMs && each.atMs() < untilMs)
                .map(each -> (each.atMs() - fromMs) + " " + each.requestId())
                .toList();
    }
}
