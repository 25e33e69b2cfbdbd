package org.filbertrudder.scenarios.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiPredicate;
import org.filbertrudder.standins.platform.ArrivalLog;

/**
 * Checks the platform's rules CONFIG and DENIED from the answers to requests whose handling shows
 * which versions of the configuration an instance follows. Each start of an instance has an id of
 * its own.
 */
final class ConfigurationChecker {

    /** The time within which an acknowledged version must be in force, in milliseconds. */
    static final long CONFIGURATION_MS = 4_000;

    /** The time within which a withdrawn key must stop working, in milliseconds. */
    static final long KEY_WITHDRAWAL_MS = 5_000;

    /** The time of contact of the platform's rules, in milliseconds. */
    static final long CONTACT_MS = 6_000;

    private static final long MAX_REGRESSION_MS = 250;
    private static final int MAX_DENIED = 5;
    private static final int MIN_PROBES_OF_ADDED_ROUTES = 20;
    private static final double MIN_SERVED_RATIO = 0.25;

    private final BiPredicate<String, Long> mExcused;
    private final List<Version> mVersions = new CopyOnWriteArrayList<>();
    private final Queue<Probe> mProbes = new ConcurrentLinkedQueue<>();

    /**
     * Creates a checker.
     *
     * @param excused tells whether an instance is out of touch at a time, so that the bounds on
     *     delays do not hold for it
     */
    ConfigurationChecker(BiPredicate<String, Long> excused) {
        mExcused = excused;
    }

    /** A version of the configuration; the store's response to its write is its acknowledgement. */
    private record Version(
            long number, Set<String> paths, Set<String> keys, long sentMs, long ackedMs) {

        boolean allows(Probe probe) {
            return paths.contains(probe.path()) && keys.contains(probe.key());
        }
    }

    /** A request to an instance and the status of its answer. */
    private record Probe(
            String instance, String path, String key, long sentMs, long endedMs, int status) {

        boolean served() {
            return status == 200;
        }

        boolean denied() {
            return status == 401 || status == 403 || status == 404;
        }

        String describe() {
            return "%s with %s at %s, sent at %d ms: status %d"
                    .formatted(path, key, instance, sentMs, status);
        }
    }

    /** Records a version that the store has acknowledged, with the paths and keys it allows. */
    void recordVersion(long number, Set<String> paths, Set<String> keys, long sentMs) {
        mVersions.add(
                new Version(
                        number, Set.copyOf(paths), Set.copyOf(keys), sentMs, ArrivalLog.nowMs()));
    }

    /** Records the status of the answer to a request that has just ended. */
    void recordProbe(String instance, String path, String key, long sentMs, int status) {
        mProbes.add(new Probe(instance, path, key, sentMs, ArrivalLog.nowMs(), status));
    }

    /** Returns the share of the requests on a path that were served, of those sent in a time. */
    double servedRatio(String path, String key, long fromMs, long endMs) {
        List<Probe> counted =
                mProbes.stream()
                        .filter(probe -> probe.path().equals(path) && probe.key().equals(key))
                        .filter(probe -> probe.sentMs() >= fromMs && probe.sentMs() < endMs)
                        .toList();
        return ratio(counted);
    }

    private static double ratio(List<Probe> probes) {
        return probes.isEmpty()
                ? 1
                : (double) probes.stream().filter(Probe::served).count() / probes.size();
    }

    /** Returns descriptions of the rules that were broken. */
    List<String> violations() {
        List<String> violations = new ArrayList<>();
        List<Probe> probes =
                mProbes.stream()
                        .sorted((a, b) -> Long.compare(a.sentMs(), b.sentMs()))
                        .filter(probe -> probe.served() || probe.denied())
                        .toList();
        findOutdated(probes, violations);
        findRegressions(probes, violations);
        findWithdrawnKeys(probes, violations);
        findDenied(probes, violations);
        findUnservedRoutes(violations);
        return violations;
    }

    /** Finds requests that only versions allow that should no longer be in force. */
    private void findOutdated(List<Probe> probes, List<String> violations) {
        for (Probe probe : probes) {
            boolean consistent =
                    versionsInForce(probe).stream()
                            .anyMatch(version -> version.allows(probe) == probe.served());
            if (!consistent && !isExcused(probe)) {
                violations.add("CONFIG: handled by an older version: " + probe.describe());
            }
        }
    }

    /** Returns the versions that may be in force while a request is handled. */
    private List<Version> versionsInForce(Probe probe) {
        int oldest = 0;
        for (int i = 0; i < mVersions.size(); i++) {
            if (mVersions.get(i).ackedMs() + CONFIGURATION_MS < probe.sentMs()) {
                oldest = i;
            }
        }
        return mVersions.subList(oldest, mVersions.size()).stream()
                .filter(version -> version.sentMs() <= probe.endedMs())
                .toList();
    }

    private boolean isExcused(Probe probe) {
        return mExcused.test(probe.instance(), probe.sentMs());
    }

    /** Finds instances that went back behind a version whose effect was seen. */
    private void findRegressions(List<Probe> probes, List<String> violations) {
        Map<String, Long> newestSeen = new HashMap<>();
        Map<String, Long> seenAtMs = new HashMap<>();
        for (Probe probe : probes) {
            List<Long> consistent =
                    mVersions.stream()
                            .filter(version -> version.sentMs() <= probe.endedMs())
                            .filter(version -> version.allows(probe) == probe.served())
                            .map(Version::number)
                            .toList();
            if (consistent.isEmpty()) {
                violations.add("CONFIG: no version allows this: " + probe.describe());
                continue;
            }
            long newest = consistent.get(consistent.size() - 1);
            long seen = newestSeen.getOrDefault(probe.instance(), 0L);
            long atMs = seenAtMs.getOrDefault(probe.instance(), Long.MAX_VALUE / 2);
            if (newest < seen && probe.sentMs() > atMs + MAX_REGRESSION_MS) {
                violations.add(
                        "CONFIG: went back behind version " + seen + ": " + probe.describe());
            }
            if (probe.served() && consistent.get(0) > seen) {
                newestSeen.put(probe.instance(), consistent.get(0));
                seenAtMs.put(probe.instance(), probe.endedMs());
            }
        }
    }

    /** Finds requests that ran with a key that was withdrawn before; holds for all instances. */
    private void findWithdrawnKeys(List<Probe> probes, List<String> violations) {
        for (Probe probe : probes) {
            boolean withdrawn =
                    mVersions.stream()
                            .filter(
                                    version ->
                                            version.ackedMs() + KEY_WITHDRAWAL_MS < probe.sentMs())
                            .reduce((earlier, later) -> later)
                            .map(version -> !version.keys().contains(probe.key()))
                            .orElse(false);
            boolean issuedAgain =
                    versionsInForce(probe).stream()
                            .anyMatch(version -> version.keys().contains(probe.key()));
            if (probe.served() && withdrawn && !issuedAgain) {
                violations.add("CONFIG: a withdrawn key works: " + probe.describe());
            }
        }
    }

    private void findDenied(List<Probe> probes, List<String> violations) {
        List<Probe> denied =
                probes.stream()
                        .filter(probe -> probe.denied() && !isExcused(probe))
                        .filter(
                                probe ->
                                        versionsInForce(probe).stream()
                                                .allMatch(version -> version.allows(probe)))
                        .toList();
        if (denied.size() > MAX_DENIED) {
            violations.add(
                    "DENIED: %d proper requests, the first is %s"
                            .formatted(denied.size(), denied.get(0).describe()));
        }
    }

    /**
     * Finds whether routes that were added are served less often than those of the first version.
     */
    private void findUnservedRoutes(List<String> violations) {
        Set<String> firstPaths = mVersions.get(0).paths();
        List<Probe> proper =
                mProbes.stream()
                        .filter(probe -> !isExcused(probe))
                        .filter(
                                probe ->
                                        versionsInForce(probe).stream()
                                                .allMatch(version -> version.allows(probe)))
                        .toList();
        List<Probe> added =
                proper.stream().filter(probe -> !firstPaths.contains(probe.path())).toList();
        // Limits of endpoints change what can be served, so both are counted over the same time.
        long fromMs = added.stream().mapToLong(Probe::sentMs).min().orElse(Long.MAX_VALUE);
        List<Probe> first =
                proper.stream()
                        .filter(probe -> firstPaths.contains(probe.path()))
                        .filter(probe -> probe.sentMs() >= fromMs)
                        .toList();
        if (added.size() >= MIN_PROBES_OF_ADDED_ROUTES
                && ratio(added) < MIN_SERVED_RATIO * ratio(first)) {
            violations.add(
                    "CONFIG: added routes are served at %.2f, the first ones at %.2f"
                            .formatted(ratio(added), ratio(first)));
        }
    }
}
