package org.filbertrudder.scenarios.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiPredicate;
import org.filbertrudder.standins.platform.ArrivalLog;
import org.filbertrudder.standins.platform.KvStoreStandIn;

/**
 * Changes the configuration of a fleet, lets its store return from copies, and checks by requests
 * on routes that were added and dropped which version each instance follows.
 */
final class ConfigurationLoad {

    private static final String FIRST_PATH = "/stock/";
    private static final int MAX_ADDED_ROUTES = 4;

    /** The age of the oldest copy from which the store returns, in milliseconds. */
    private static final long MAX_COPY_AGE_MS = 9_000;

    private final PlatformFleet mFleet;
    private final String mApiKey;
    private final ConfigurationChecker mChecker;
    private final Deque<TimedCopy> mCopies = new ArrayDeque<>();
    private final List<String> mPaths = new CopyOnWriteArrayList<>(List.of(FIRST_PATH));
    private final Deque<String> mAdded = new ArrayDeque<>();
    private final List<Outage> mOutages = new CopyOnWriteArrayList<>();
    private int mNextRoute;

    /**
     * Creates the load for a fleet without any version of the configuration.
     *
     * @param excused tells whether an instance is out of touch at a time
     */
    ConfigurationLoad(PlatformFleet fleet, String apiKey, BiPredicate<String, Long> excused) {
        mFleet = fleet;
        mApiKey = apiKey;
        mChecker =
                new ConfigurationChecker(
                        (instance, atMs) ->
                                excused.test(instanceOf(instance), atMs) || isOutage(atMs));
    }

    private record TimedCopy(long atMs, KvStoreStandIn.Copy copy) {}

    /** A time in which the store did not serve; the end is set when it serves again. */
    private static final class Outage {

        private final long mFromMs = ArrivalLog.nowMs();
        private volatile long mEndMs = Long.MAX_VALUE / 2;
    }

    private static String instanceOf(String life) {
        return life.split("#", 2)[0];
    }

    private boolean isOutage(long atMs) {
        return mOutages.stream()
                .anyMatch(
                        outage ->
                                atMs >= outage.mFromMs
                                        && atMs <= outage.mEndMs + ConfigurationChecker.CONTACT_MS);
    }

    /** Adds a route, and drops the oldest one that was added if there are many. */
    synchronized void change() {
        String path = "/added-" + ++mNextRoute + "/";
        mAdded.add(path);
        mPaths.add(path);
        mFleet.addedRoutes().add(path);
        if (mAdded.size() > MAX_ADDED_ROUTES) {
            mFleet.addedRoutes().remove(mAdded.remove());
        }
        write();
    }

    /** Writes the next version without a change of the routes. */
    synchronized void write() {
        long sentMs = ArrivalLog.nowMs();
        Set<String> paths = new HashSet<>(mFleet.addedRoutes());
        paths.add(FIRST_PATH);
        long version = mFleet.writeConfiguration(true);
        mChecker.recordVersion(version, paths, Set.of(mApiKey), sentMs);
    }

    /** Keeps a copy of the store. */
    synchronized void copy() {
        long nowMs = ArrivalLog.nowMs();
        mCopies.add(new TimedCopy(nowMs, mFleet.store().copy()));
        mCopies.removeIf(copy -> nowMs - copy.atMs() > MAX_COPY_AGE_MS);
    }

    /** Lets the store respond in another way for a time. */
    synchronized void interruptStore(KvStoreStandIn.Mode mode, long durationMs) {
        Outage outage = beginOutage(mode, durationMs);
        endOutage(outage);
    }

    /**
     * Lets the store return from a copy after a time.
     *
     * @param rewriteDelayMs how long the operators and replicas take to write again
     */
    synchronized void restoreStore(
            KvStoreStandIn.Mode mode, long durationMs, long copyAgeMs, long rewriteDelayMs) {
        Outage outage = beginOutage(mode, durationMs);
        // The oldest copy of those that are not older than told.
        mCopies.stream()
                .filter(copy -> outage.mFromMs - copy.atMs() <= copyAgeMs)
                .findFirst()
                .ifPresent(copy -> mFleet.store().restore(copy.copy()));
        mFleet.store().setMode(KvStoreStandIn.Mode.SERVING);
        ArrivalLog.sleepUntil(ArrivalLog.nowMs() + rewriteDelayMs);
        mFleet.store().writeAgain();
        endOutage(outage);
    }

    private Outage beginOutage(KvStoreStandIn.Mode mode, long durationMs) {
        Outage outage = new Outage();
        mOutages.add(outage);
        mFleet.store().setMode(mode);
        ArrivalLog.sleepUntil(outage.mFromMs + durationMs);
        return outage;
    }

    private void endOutage(Outage outage) {
        mFleet.store().setMode(KvStoreStandIn.Mode.SERVING);
        outage.mEndMs = ArrivalLog.nowMs();
    }

    /**
     * Sends a request on one of the paths that some version has had.
     *
     * @param instance the id of the instance
     * @param start tells the starts of an instance apart
     */
    void probe(PlatformClient client, String requestId, String instance, int start, int number) {
        List<String> paths = new ArrayList<>(mPaths);
        // The newest routes show which version is in force.
        int recent = Math.min(paths.size(), 2 * MAX_ADDED_ROUTES);
        String path =
                number % 2 == 0 ? FIRST_PATH : paths.get(paths.size() - 1 - number / 2 % recent);
        long sentMs = ArrivalLog.nowMs();
        int status = client.sendPlain(requestId, "GET", path + "x", mApiKey).status();
        mChecker.recordProbe(instance + "#" + start, path, mApiKey, sentMs, status);
    }

    /** Returns descriptions of the rules that were broken. */
    List<String> violations() {
        return mChecker.violations();
    }
}
