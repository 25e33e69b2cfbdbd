package org.filbertrudder.scenarios.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import org.filbertrudder.standins.platform.ArrivalLog;
import org.filbertrudder.standins.platform.ReplicaStandIn;

/**
 * Checks the platform's rules BUDGET and LOST for one prompt part that crashes replicas, from what
 * the replicas and the callers have seen. Request ids begin with the id of the instance and a
 * slash. Instances that are excused do not count.
 */
final class CrashingPartChecker {

    /** The time of contact of the platform's rules, in milliseconds. */
    static final long CONTACT_MS = 6_000;

    private static final int CRASHES_BEFORE_BOUND = 5;
    private static final int ALLOWED_REQUESTS = 3;
    private static final int MIN_SOUND_REQUESTS = 20;
    private static final double MIN_SERVED_RATIO = 0.5;

    private final List<ReplicaStandIn> mReplicas;
    private final Predicate<String> mHasPart;
    private final BiPredicate<String, Long> mExcused;
    private final Queue<SoundRequest> mSoundRequests = new ConcurrentLinkedQueue<>();

    /**
     * Creates a checker.
     *
     * @param hasPart tells by its id whether a request has the part that crashes replicas
     * @param excused tells whether an instance is excused at a time
     */
    CrashingPartChecker(
            List<ReplicaStandIn> replicas,
            Predicate<String> hasPart,
            BiPredicate<String, Long> excused) {
        mReplicas = replicas;
        mHasPart = hasPart;
        mExcused = excused;
    }

    /** A request that shares its key or first part with those that crash replicas. */
    private record SoundRequest(long sentMs, boolean served) {}

    /** Records the first attempt of a sound request. */
    void recordSound(String instance, long sentMs, boolean served) {
        if (!mExcused.test(instance, sentMs)) {
            mSoundRequests.add(new SoundRequest(sentMs, served));
        }
    }

    /** Returns the times at which requests with the part crashed replicas, in order. */
    List<Long> crashTimesMs() {
        return mReplicas.stream()
                .flatMap(replica -> replica.crashes().all().stream())
                .filter(crash -> mHasPart.test(crash.requestId()))
                .map(ArrivalLog.Arrival::atMs)
                .sorted()
                .toList();
    }

    /**
     * Returns descriptions of the rules that were broken.
     *
     * @param firstMs when requests with the part began, in milliseconds of the arrivals' clock
     * @param lastMs when they ended
     */
    List<String> violations(long firstMs, long lastMs) {
        List<String> violations = new ArrayList<>();
        List<Long> crashesMs = crashTimesMs();
        if (crashesMs.size() >= CRASHES_BEFORE_BOUND) {
            long boundMs = crashesMs.get(CRASHES_BEFORE_BOUND - 1) + CONTACT_MS;
            long arrivals = arrivalsAfter(boundMs);
            if (arrivals > ALLOWED_REQUESTS) {
                violations.add(
                        "BUDGET: %d requests reach replicas after the fifth crash of %d, allowed %d"
                                .formatted(arrivals, crashesMs.size(), ALLOWED_REQUESTS));
            }
        }
        if (!crashesMs.isEmpty()) {
            long crashMs = crashesMs.get(Math.min(CRASHES_BEFORE_BOUND, crashesMs.size()) - 1);
            findLost(firstMs, crashMs + 2 * CONTACT_MS, lastMs, violations);
        }
        return violations;
    }

    private long arrivalsAfter(long boundMs) {
        return mReplicas.stream()
                .flatMap(replica -> replica.arrivals().all().stream())
                .filter(arrival -> arrival.atMs() > boundMs && mHasPart.test(arrival.requestId()))
                .filter(arrival -> !mExcused.test(instanceOf(arrival), arrival.atMs()))
                .count();
    }

    private static String instanceOf(ArrivalLog.Arrival arrival) {
        return arrival.requestId().split("/", 2)[0];
    }

    private void findLost(long firstMs, long fromMs, long lastMs, List<String> violations) {
        List<SoundRequest> before =
                mSoundRequests.stream().filter(each -> each.sentMs() < firstMs).toList();
        List<SoundRequest> beside =
                mSoundRequests.stream()
                        .filter(each -> each.sentMs() >= fromMs && each.sentMs() < lastMs)
                        .toList();
        boolean enough = before.size() >= MIN_SOUND_REQUESTS && beside.size() >= MIN_SOUND_REQUESTS;
        if (enough && servedShare(beside) < MIN_SERVED_RATIO * servedShare(before)) {
            violations.add(
                    "LOST: %.2f of %d sound requests are served, %.2f of %d before"
                            .formatted(
                                    servedShare(beside),
                                    beside.size(),
                                    servedShare(before),
                                    before.size()));
        }
    }

    private static double servedShare(List<SoundRequest> requests) {
        long served = requests.stream().filter(SoundRequest::served).count();
        return (double) served / requests.size();
    }
}
