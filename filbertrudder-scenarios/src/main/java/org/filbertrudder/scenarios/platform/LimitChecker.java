package org.filbertrudder.scenarios.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.BiPredicate;
import org.filbertrudder.standins.platform.ArrivalLog;
import org.filbertrudder.standins.platform.ReplicaStandIn;

/**
 * Checks the platform's rule LIMIT from what a replica has seen.
 *
 * <p>A window of 4 s that ends at least the contact time after the replica first stated its limit
 * may contain one and a half times what the limit allows, and 5 requests more. Only requests of
 * instances count that had received a response with the limit half a second before. Instances that
 * are excused do not count. Request ids begin with the id of the instance and a slash.
 */
final class LimitChecker {

    private static final long WINDOW_MS = 4_000;
    private static final long CONTACT_MS = 6_000;
    private static final long TOLD_MS = 500;
    private static final double ALLOWED_FACTOR = 1.5;
    private static final int ALLOWED_EXTRA = 5;

    private final ReplicaStandIn mReplica;
    private final BiPredicate<String, Long> mExcused;
    private final List<Period> mPeriods = new ArrayList<>();

    /**
     * Creates a checker for a replica without a limit.
     *
     * @param excused tells whether an instance is excused at a time
     */
    LimitChecker(ReplicaStandIn replica, BiPredicate<String, Long> excused) {
        mReplica = replica;
        mExcused = excused;
    }

    /**
     * A time in which the replica states the same limit.
     *
     * @param perSecond the limit; empty for none or one that is malformed
     */
    private record Period(long fromMs, OptionalDouble perSecond) {}

    /** Lets the replica state a limit from now on; null for none. */
    void setLimit(String limit) {
        OptionalDouble perSecond = OptionalDouble.empty();
        if (limit != null && limit.matches("[0-9.]+")) {
            perSecond = OptionalDouble.of(Double.parseDouble(limit));
        }
        mPeriods.add(new Period(ArrivalLog.nowMs(), perSecond));
        mReplica.setLimit(limit);
    }

    ReplicaStandIn replica() {
        return mReplica;
    }

    /** Returns a description of each window with too many requests, at most one a period. */
    List<String> violations(String name) {
        List<String> violations = new ArrayList<>();
        long firstStatedMs = Long.MAX_VALUE;
        for (int i = 0; i < mPeriods.size(); i++) {
            Period period = mPeriods.get(i);
            if (period.perSecond().isEmpty()) {
                firstStatedMs = Long.MAX_VALUE;
                continue;
            }
            firstStatedMs = Math.min(firstStatedMs, period.fromMs());
            long endMs = i + 1 < mPeriods.size() ? mPeriods.get(i + 1).fromMs() : Long.MAX_VALUE;
            findViolation(name, period, firstStatedMs, endMs).forEach(violations::add);
        }
        return violations;
    }

    /** Returns the worst window that ends in the period, if it has too many requests. */
    private List<String> findViolation(String name, Period period, long firstStatedMs, long endMs) {
        Map<String, Long> toldMs = toldMs(firstStatedMs);
        List<Long> counted = new ArrayList<>();
        for (ArrivalLog.Arrival arrival : mReplica.arrivals().all()) {
            String instance = instanceOf(arrival);
            Long told = toldMs.get(instance);
            boolean counts =
                    told != null
                            && arrival.atMs() >= told + TOLD_MS
                            && arrival.atMs() < endMs
                            && !mExcused.test(instance, arrival.atMs());
            if (counts) {
                counted.add(arrival.atMs());
            }
        }
        int first = 0;
        for (int last = 0; last < counted.size(); last++) {
            long atMs = counted.get(last);
            while (atMs - counted.get(first) >= WINDOW_MS) {
                first++;
            }
            double perSecond = highestLimitSince(atMs - WINDOW_MS, period);
            double allowed = ALLOWED_FACTOR * perSecond * WINDOW_MS / 1_000 + ALLOWED_EXTRA;
            boolean checked = atMs >= period.fromMs() && atMs >= firstStatedMs + CONTACT_MS;
            if (checked && last - first + 1 > allowed) {
                String text = "%s stated %s a second and got %d requests in 4 s, allowed %s";
                return List.of(
                        "LIMIT: " + text.formatted(name, perSecond, last - first + 1, allowed));
            }
        }
        return List.of();
    }

    private static String instanceOf(ArrivalLog.Arrival arrival) {
        String id = String.valueOf(arrival.requestId());
        return id.substring(0, Math.max(0, id.indexOf('/')));
    }

    /** Returns when each instance first received a response with a limit since a time. */
    private Map<String, Long> toldMs(long sinceMs) {
        Map<String, Long> toldMs = new HashMap<>();
        mReplica.limitStatements().all().stream()
                .filter(statement -> statement.atMs() >= sinceMs)
                .forEach(each -> toldMs.merge(instanceOf(each), each.atMs(), Math::min));
        return toldMs;
    }

    /** Returns the highest limit stated between a time and the end of a period. */
    private double highestLimitSince(long fromMs, Period last) {
        double highest = last.perSecond().orElse(0);
        for (int i = mPeriods.indexOf(last) - 1; i >= 0; i--) {
            Period period = mPeriods.get(i);
            boolean overlaps = mPeriods.get(i + 1).fromMs() >= fromMs;
            if (!overlaps || period.perSecond().isEmpty()) {
                break;
            }
            highest = Math.max(highest, period.perSecond().getAsDouble());
        }
        return highest;
    }
}
