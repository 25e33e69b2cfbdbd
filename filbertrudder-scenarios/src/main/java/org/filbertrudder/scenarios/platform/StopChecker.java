package org.filbertrudder.scenarios.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Checks the platform's rules LOST and REFUSED from what callers with open connections got from
 * instances that were stopped as planned, and from when the processes ended.
 */
final class StopChecker {

    /** The time in which an instance that closes a connection may not have read a request. */
    static final long LOSS_SLACK_MS = 200;

    private static final Set<Integer> PROMISES_NOT_RUN = Set.of(408, 421, 429, 503);

    private final long mGraceMs;
    private final Queue<Stop> mStops = new ConcurrentLinkedQueue<>();
    private final Queue<Request> mRequests = new ConcurrentLinkedQueue<>();

    /**
     * Creates a checker.
     *
     * @param graceMs the time after SIGTERM at which a process may be killed
     */
    StopChecker(long graceMs) {
        mGraceMs = graceMs;
    }

    /** Lists what disturbed a stop beside the planned work. */
    enum Disturbance {
        NONE,
        /** The process was killed before the end of its grace. */
        KILLED,
        /** The process was frozen at the end of its grace. */
        FROZEN_AT_END
    }

    /**
     * Records a stop.
     *
     * @param stop tells the stops of all instances apart
     * @param disturbedMs when the disturbance began; any value without one
     * @param aliveAtEnd whether the process was still there at the end of its grace
     */
    record Stop(
            int stop,
            String instance,
            long signalMs,
            long exitMs,
            boolean aliveAtEnd,
            Disturbance disturbance,
            long disturbedMs) {}

    /**
     * Records a request of a caller with an open connection.
     *
     * @param repeatable whether the request may be run more than once
     * @param wholeStream whether a stream has its last event; true for other requests
     */
    record Request(
            int stop,
            String id,
            boolean repeatable,
            KeepAliveConnection.Exchange exchange,
            boolean wholeStream) {}

    /**
     * Tells what the replicas did with a request.
     *
     * @param arrivals how often it arrived
     * @param executions how often its execution was started
     * @param breakMs when a replica that executed it broke off, {@link Long#MAX_VALUE} for never
     */
    record Handling(int arrivals, int executions, long breakMs) {

        static final Handling NONE = new Handling(0, 0, Long.MAX_VALUE);

        Handling plus(Handling other) {
            return new Handling(
                    arrivals + other.arrivals,
                    executions + other.executions,
                    Math.min(breakMs, other.breakMs));
        }
    }

    void record(Stop stop) {
        mStops.add(stop);
    }

    void record(Request request) {
        mRequests.add(request);
    }

    /** Returns the number of stops and of requests by their ends and statuses. */
    Map<String, Integer> counts() {
        Map<String, Integer> counts = new TreeMap<>();
        mStops.forEach(stop -> counts.merge("stops " + stop.disturbance(), 1, Integer::sum));
        for (Request request : mRequests) {
            KeepAliveConnection.Exchange exchange = request.exchange();
            counts.merge(exchange.end() + " " + exchange.status(), 1, Integer::sum);
        }
        return counts;
    }

    /**
     * Returns descriptions of the rules that were broken.
     *
     * @param handlings what the replicas did with requests, by id
     */
    List<String> violations(Map<String, Handling> handlings) {
        List<String> violations = new ArrayList<>();
        for (Stop stop : mStops) {
            if (stop.aliveAtEnd() && stop.disturbance() == Disturbance.NONE) {
                violations.add(
                        "LOST: %s outlasted its grace of %d ms: gone %d ms after SIGTERM at %d ms"
                                .formatted(
                                        stop.instance(),
                                        mGraceMs,
                                        stop.exitMs() - stop.signalMs(),
                                        stop.signalMs()));
            }
        }
        for (Request request : mRequests) {
            Handling handling = handlings.getOrDefault(request.id(), Handling.NONE);
            if (!request.repeatable() && handling.executions() > 1) {
                violations.add("Run %d times: ".formatted(handling.executions()) + request);
            }
            if (!request.repeatable()
                    && handling.executions() > 0
                    && PROMISES_NOT_RUN.contains(request.exchange().status())) {
                violations.add("REFUSED: run though refused as not run: " + request);
            }
            if (isLost(request, handling)) {
                violations.add(
                        "LOST: %s, %d arrivals, stop: %s"
                                .formatted(request, handling.arrivals(), stopOf(request)));
            }
        }
        return violations;
    }

    private boolean isLost(Request request, Handling handling) {
        KeepAliveConnection.Exchange exchange = request.exchange();
        Stop stop = stopOf(request);
        boolean excused =
                stop != null
                        && stop.disturbance() != Disturbance.NONE
                        && exchange.endedMs() >= stop.disturbedMs();
        if (excused || handling.breakMs() <= exchange.endedMs()) {
            return false;
        }
        return switch (exchange.end()) {
            case WHOLE -> !request.wholeStream();
            case CUT, SILENT -> true;
            case CLOSED ->
                    handling.arrivals() > 0
                            || exchange.endedMs() - exchange.sentMs() > LOSS_SLACK_MS;
            case NOT_SENT -> handling.arrivals() > 0;
        };
    }

    private Stop stopOf(Request request) {
        return mStops.stream()
                .filter(stop -> stop.stop() == request.stop())
                .findFirst()
                .orElse(null);
    }
}
