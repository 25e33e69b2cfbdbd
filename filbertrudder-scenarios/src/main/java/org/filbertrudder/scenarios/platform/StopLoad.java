package org.filbertrudder.scenarios.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.filbertrudder.standins.platform.ArrivalLog;
import org.filbertrudder.standins.platform.ReplicaStandIn;

/**
 * Stops instances as planned, while callers go on to use open connections to them until their
 * processes are gone, and checks what the callers got.
 */
final class StopLoad {

    private static final long GRACE_MS = TimeUnit.SECONDS.toMillis(GatewayProcess.GRACE_SECONDS);
    private static final int CALLERS = 6;
    private static final int MAX_PAUSE_MS = 150;
    private static final int MAX_LEAD_MS = 500;

    /** How long a process that outlasts its grace is watched before it is killed. */
    private static final long WATCH_MS = 1_000;

    private static final long END_TIMEOUT_MS = 20_000;
    private static final List<String> PATHS =
            List.of("/stock/x", "/book/x", "/digest/x", "/chat/x");
    private static final String MARK = "/stop-";
    private static final String LAST_EVENT = "id: 8\n";

    private final PlatformFleet mFleet;
    private final String mApiKey;
    private final BiFunction<ReplicaStandIn, Long, Long> mNextBreakMs;
    private final Consumer<String> mNote;
    private final StopChecker mChecker = new StopChecker(GRACE_MS);
    private final ExecutorService mCallers = Executors.newCachedThreadPool();
    private final AtomicInteger mNextStop = new AtomicInteger();
    private final AtomicInteger mNextRequest = new AtomicInteger();

    /**
     * Creates a load.
     *
     * @param nextBreakMs tells when a replica broke off its requests, at or after a time
     * @param note takes descriptions of events
     */
    StopLoad(
            PlatformFleet fleet,
            String apiKey,
            BiFunction<ReplicaStandIn, Long, Long> nextBreakMs,
            Consumer<String> note) {
        mFleet = fleet;
        mApiKey = apiKey;
        mNextBreakMs = nextBreakMs;
        mNote = note;
    }

    /** Lists what happens to an instance while it stops. */
    enum Beside {
        NOTHING,
        HUP,
        FREEZE,
        KILL
    }

    /** Describes a stop; times are in milliseconds after SIGTERM. */
    record Plan(long leadMs, Beside beside, long besideMs, long freezeMs, long seed) {

        /** Draws a plan. */
        static Plan draw(Random random) {
            Beside beside =
                    switch (random.nextInt(8)) {
                        case 0, 1 -> Beside.HUP;
                        case 2 -> Beside.FREEZE;
                        case 3 -> Beside.KILL;
                        default -> Beside.NOTHING;
                    };
            return new Plan(
                    random.nextInt(MAX_LEAD_MS),
                    beside,
                    random.nextInt((int) GRACE_MS / 2),
                    // Either well within the grace or beyond its end.
                    random.nextBoolean() ? random.nextInt(1_000) : GRACE_MS + 500,
                    random.nextLong());
        }
    }

    /**
     * Stops an instance as planned; returns when its process is gone and its callers have ended.
     */
    void stop(GatewayProcess process, Plan plan) {
        int stop = mNextStop.incrementAndGet();
        Random random = new Random(plan.seed());
        List<Future<?>> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            long seed = random.nextLong();
            callers.add(mCallers.submit(() -> call(stop, process, new Random(seed))));
        }
        ArrivalLog.sleepUntil(ArrivalLog.nowMs() + plan.leadMs());
        mNote.accept(process.id() + " is stopped as planned, stop " + stop + ", " + plan);
        long signalMs = ArrivalLog.nowMs();
        process.terminate();
        Disturbed disturbed = disturb(process, plan, signalMs);
        boolean aliveAtEnd = !process.awaitExit(signalMs + GRACE_MS - ArrivalLog.nowMs());
        if (aliveAtEnd && disturbed.kind() == StopChecker.Disturbance.NONE) {
            process.awaitExit(WATCH_MS);
        }
        long exitMs = ArrivalLog.nowMs();
        process.close();
        mChecker.record(
                new StopChecker.Stop(
                        stop,
                        process.id(),
                        signalMs,
                        exitMs,
                        aliveAtEnd,
                        disturbed.kind(),
                        disturbed.atMs()));
        mNote.accept(process.id() + " is gone " + (exitMs - signalMs) + " ms after SIGTERM");
        callers.forEach(StopLoad::await);
    }

    private record Disturbed(StopChecker.Disturbance kind, long atMs) {}

    private Disturbed disturb(GatewayProcess process, Plan plan, long signalMs) {
        Disturbed none = new Disturbed(StopChecker.Disturbance.NONE, 0);
        if (plan.beside() == Beside.NOTHING
                || process.awaitExit(signalMs + plan.besideMs() - ArrivalLog.nowMs())) {
            return none;
        }
        long atMs = ArrivalLog.nowMs();
        switch (plan.beside()) {
            case HUP -> process.signal("HUP");
            case KILL -> {
                process.signal("KILL");
                return new Disturbed(StopChecker.Disturbance.KILLED, atMs);
            }
            default -> {
                process.signal("STOP");
                if (atMs + plan.freezeMs() >= signalMs + GRACE_MS) {
                    return new Disturbed(StopChecker.Disturbance.FROZEN_AT_END, atMs);
                }
                ArrivalLog.sleepUntil(atMs + plan.freezeMs());
                process.signal("CONT");
            }
        }
        return none;
    }

    private static void await(Future<?> caller) {
        try {
            caller.get(END_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sends requests on open connections until none can be opened. */
    private void call(int stop, GatewayProcess process, Random random) {
        while (true) {
            try (KeepAliveConnection connection =
                    new KeepAliveConnection(process.callerAddress())) {
                boolean reusable = true;
                while (reusable) {
                    reusable = request(stop, process, connection, random);
                    ArrivalLog.sleepUntil(ArrivalLog.nowMs() + random.nextInt(MAX_PAUSE_MS));
                }
            } catch (IOException e) {
                // The instance accepts no connections any more.
                return;
            }
        }
    }

    /** Returns whether the connection may be used again. */
    private boolean request(
            int stop, GatewayProcess process, KeepAliveConnection connection, Random random) {
        String id = process.id() + MARK + stop + "-" + mNextRequest.incrementAndGet();
        String path = PATHS.get(random.nextInt(PATHS.size()));
        boolean stream = path.startsWith("/digest") || path.startsWith("/chat");
        KeepAliveConnection.Exchange exchange = connection.exchange(message(id, path, stream));
        boolean wholeStream =
                !stream || exchange.status() != 200 || exchange.body().contains(LAST_EVENT);
        boolean repeatable = path.startsWith("/stock") || path.startsWith("/digest");
        mChecker.record(new StopChecker.Request(stop, id, repeatable, exchange, wholeStream));
        return exchange.reusable();
    }

    private String message(String id, String path, boolean stream) {
        String body = "body of " + id;
        String tokens =
                "Filbertrudder-Token-Usage: 600,80\r\nFilbertrudder-Model: m\r\n"
                        + "Filbertrudder-Prompt-Prefix: book:300,"
                        + id
                        + ":100\r\n";
        return (path.startsWith("/stock") ? "GET " : "POST ")
                + path
                + " HTTP/1.1\r\nHost: "
                + PlatformFleet.HOST
                + "\r\nFilbertrudder-Attempt-Id: "
                + id
                + "\r\nFilbertrudder-Deadline-Ms: 8000\r\nAuthorization: Bearer "
                + mApiKey
                + "\r\n"
                + (stream ? tokens : "")
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    /** Returns the number of stops and of requests by their ends. */
    Map<String, Integer> counts() {
        return mChecker.counts();
    }

    /** Returns descriptions of the rules that were broken. */
    List<String> violations() {
        Map<String, StopChecker.Handling> handlings = new HashMap<>();
        for (ReplicaStandIn replica : mFleet.replicas()) {
            Map<String, List<ArrivalLog.Arrival>> arrivals =
                    replica.arrivals().all().stream()
                            .filter(arrival -> arrival.requestId() != null)
                            .filter(arrival -> arrival.requestId().contains(MARK))
                            .collect(Collectors.groupingBy(ArrivalLog.Arrival::requestId));
            arrivals.forEach(
                    (id, each) ->
                            handlings.merge(
                                    id, handling(replica, each), StopChecker.Handling::plus));
        }
        return mChecker.violations(handlings);
    }

    private StopChecker.Handling handling(
            ReplicaStandIn replica, List<ArrivalLog.Arrival> arrivals) {
        ArrivalLog.Arrival first = arrivals.get(0);
        int executions = replica.executionCount(first.requestId());
        long breakMs = executions == 0 ? Long.MAX_VALUE : mNextBreakMs.apply(replica, first.atMs());
        return new StopChecker.Handling(arrivals.size(), executions, breakMs);
    }

    /** Ends the callers. */
    void close() {
        mCallers.shutdownNow();
    }
}
