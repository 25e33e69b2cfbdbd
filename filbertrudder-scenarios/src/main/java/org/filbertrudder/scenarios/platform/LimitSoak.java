package org.filbertrudder.scenarios.platform;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.filbertrudder.standins.platform.ArrivalLog;
import org.filbertrudder.standins.platform.KvStoreStandIn;
import org.filbertrudder.standins.platform.ReplicaStandIn;

/**
 * Runs gateway processes of one region under load, while replicas state, change and lift limits, a
 * part of prompts crashes replicas, the configuration changes, and a seeded series of signals,
 * restarts and outages disturbs the processes, the replicas and the store, which may return from a
 * copy, and instances are stopped as planned. Checks what the replicas and the callers see against
 * the platform's rules LIMIT, BUDGET, LOST, REFUSED, CONFIG, DENIED and FAILBACK.
 */
public final class LimitSoak {

    private static final String REGION = "mtl";
    private static final String API_KEY = "key-club";
    private static final int REPLICAS_PER_SERVICE = 3;
    private static final int SLOTS = 64;
    private static final int MAX_SEEDS = 3;
    private static final int STARTS_AT_A_TIME = 6;
    private static final long MAX_TOTAL_REQUESTS_PER_SECOND = 120;
    private static final long MAX_REQUEST_INTERVAL_MS = 1_000;
    private static final long MIN_REQUEST_INTERVAL_MS = 40;

    private static final long COPY_INTERVAL_MS = 500;
    private static final long QUIET_OUTAGE_MS = 1_500;

    /** How long a disturbed instance is excused after the end of the disturbance. */
    private static final long CONTACT_MS = 6_000;

    /** The time in which a replica whose limit has ended gets requests beyond it again. */
    private static final long RETURN_MS = 12_000;

    private static final long FIRST_STOP_MS = 2_000;
    private static final int MIN_STOP_INTERVAL_MS = 8_000;

    /** How long a planned stop and the start after it usually take, in milliseconds. */
    private static final long STOP_MS = 6_000;

    private static final long STOPS_END_TIMEOUT_MS = 30_000;

    private static final long COLD_RETURN_SERIES = 0x5eed;
    private static final long FIRST_COLD_RETURN_MS = 2_000;
    private static final int MAX_COLD_RETURN_INTERVAL_MS = 8_000;
    private static final int MIN_DOWN_MS = 400;
    private static final int MAX_DOWN_MS = 3_000;

    private static final String CRASHING_PART = "deadly";
    private static final String CRASHING_MARK = "/bad";
    private static final double CRASHING_SHARE = 0.1;
    private static final int STATUS_CRASHING_PART = 422;

    private static final List<String> LIMITS =
            List.of("0", "0.5", "1", "1.2", "2", "5", "12", "-1", "NaN", "soon", "3,1");

    private final Options mOptions;
    private final Random mRandom;
    private final PlatformFleet mFleet = new PlatformFleet(REGION);
    private final Map<String, GatewayProcess> mProcesses = new TreeMap<>();
    private final Map<String, LimitChecker> mCheckers = new TreeMap<>();
    private final Map<String, List<Disturbance>> mDisturbances = new ConcurrentHashMap<>();
    private final Map<Integer, Integer> mStatuses = new ConcurrentHashMap<>();
    private final List<String> mViolations = new CopyOnWriteArrayList<>();
    private final List<String> mEvents = Collections.synchronizedList(new ArrayList<>());
    private final AtomicLong mNextRequest = new AtomicLong();
    private final Map<String, Long> mLiftedMs = new ConcurrentHashMap<>();
    private final ConfigurationLoad mConfiguration =
            new ConfigurationLoad(mFleet, API_KEY, this::isExcused);
    private final StopLoad mStops = new StopLoad(mFleet, API_KEY, this::nextBreakMs, this::note);
    private final ColdReturnChecker mColdReturns = new ColdReturnChecker();
    private final Map<ReplicaStandIn, List<Long>> mReplicaRestartsMs = new ConcurrentHashMap<>();
    private CrashingPartChecker mCrashingPart;
    private long mStartedMs;
    private volatile long mCrashingFromMs = Long.MAX_VALUE;
    private volatile boolean mStopped;

    /**
     * Describes a run.
     *
     * @param seed determines the faults and their times
     * @param instances the number of gateway processes
     * @param seconds the duration of the load
     * @param directory where the settings and logs of the processes are written
     */
    public record Options(long seed, int instances, int seconds, Path directory) {}

    /**
     * Holds the result of a run.
     *
     * @param violations descriptions of what broke a rule
     * @param statuses the number of responses by status; 0 stands for a broken connection
     * @param stops the number of planned stops, and of requests beside them by their ends
     * @param events the disturbances with their times, in seconds since the start
     */
    public record Report(
            List<String> violations,
            Map<Integer, Integer> statuses,
            Map<String, Integer> stops,
            List<String> events) {}

    /** A time in which an instance was stopped, restarted or frozen. */
    private record Disturbance(long fromMs, AtomicLong endMs) {}

    private LimitSoak(Options options) {
        mOptions = options;
        mRandom = new Random(options.seed());
    }

    /** Runs the processes, the load and the faults, and reports what broke a rule. */
    public static Report run(Options options) {
        LimitSoak soak = new LimitSoak(options);
        // Ends the processes also if this one is interrupted.
        Thread endProcesses = new Thread(soak::endProcesses);
        Runtime.getRuntime().addShutdownHook(endProcesses);
        try {
            return soak.run();
        } finally {
            soak.close();
            Runtime.getRuntime().removeShutdownHook(endProcesses);
        }
    }

    private Report run() {
        startFleet();
        mStartedMs = ArrivalLog.nowMs();
        ExecutorService callers = Executors.newCachedThreadPool();
        mProcesses.values().forEach(process -> startCallers(process, callers));
        ScheduledExecutorService faults = Executors.newScheduledThreadPool(8);
        scheduleFaults(faults);
        ScheduledExecutorService stops = Executors.newScheduledThreadPool(8);
        scheduleStops(stops);
        scheduleColdReturns(faults);
        sleepUntil(mStartedMs + TimeUnit.SECONDS.toMillis(mOptions.seconds()));
        faults.shutdownNow();
        stops.shutdown();
        loseChangesInAQuietTime();
        awaitEnd(stops);
        mStopped = true;
        callers.shutdown();
        mCheckers.forEach((name, checker) -> mViolations.addAll(checker.violations(name)));
        mViolations.addAll(mCrashingPart.violations(mCrashingFromMs, ArrivalLog.nowMs()));
        mViolations.addAll(mConfiguration.violations());
        mViolations.addAll(mStops.violations());
        mViolations.addAll(mColdReturns.violations());
        checkReturns();
        checkExecutions();
        return new Report(
                List.copyOf(mViolations),
                new TreeMap<>(mStatuses),
                mStops.counts(),
                List.copyOf(mEvents));
    }

    private void awaitEnd(ExecutorService stops) {
        try {
            if (!stops.awaitTermination(STOPS_END_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
                mViolations.add("A planned stop or the start after it does not end.");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /**
     * Lets the store lose more changes than follow, without other faults, so that an instance that
     * does not follow the operators any more shows.
     */
    private void loseChangesInAQuietTime() {
        mConfiguration.copy();
        mConfiguration.change();
        mConfiguration.change();
        sleepUntil(ArrivalLog.nowMs() + CONTACT_MS / 2);
        restoreStore(KvStoreStandIn.Mode.REJECTING, QUIET_OUTAGE_MS, CONTACT_MS, 0);
        sleepUntil(ArrivalLog.nowMs() + CONTACT_MS / 2);
        mConfiguration.change();
        sleepUntil(ArrivalLog.nowMs() + 2 * CONTACT_MS);
    }

    private void startFleet() {
        mConfiguration.write();
        for (int i = 1; i <= REPLICAS_PER_SERVICE; i++) {
            startReplica("pool-" + i, PlatformFleet.MODEL_SERVICE);
            startReplica("desk-" + i, PlatformFleet.BOOKING_SERVICE);
        }
        mCrashingPart =
                new CrashingPartChecker(
                        mFleet.replicas(), id -> id.contains(CRASHING_MARK), this::isExcused);
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < mOptions.instances(); i++) {
            hosts.add(addressPrefix() + (i + 1));
        }
        List<String> seeds = hosts.subList(0, Math.min(MAX_SEEDS, hosts.size()));
        for (int i = 0; i < hosts.size(); i++) {
            GatewayProcess process =
                    new GatewayProcess(
                            "edge-" + i,
                            hosts.get(i),
                            REGION,
                            seeds,
                            mFleet.storePort(),
                            mOptions.directory());
            mDisturbances.put(process.id(), new CopyOnWriteArrayList<>());
            mProcesses.put(process.id(), process);
            process.start();
            if ((i + 1) % STARTS_AT_A_TIME == 0 || i == hosts.size() - 1) {
                awaitAllReady();
            }
        }
    }

    /** Returns loopback addresses of this process only, so that runs at a time do not collide. */
    static String addressPrefix() {
        long pid = ProcessHandle.current().pid();
        return "127." + (1 + pid / 256 % 254) + "." + pid % 256 + ".";
    }

    private void awaitAllReady() {
        mProcesses
                .values()
                .forEach(
                        process ->
                                PlatformFleet.await(process.id() + " is ready", process::isReady));
    }

    private void startReplica(String id, String service) {
        ReplicaStandIn replica = mFleet.startReplica(id, service, REGION, SLOTS);
        mCheckers.put(id, new LimitChecker(replica, this::isExcused));
    }

    private boolean isExcused(String instance, long atMs) {
        return mDisturbances.getOrDefault(instance, List.of()).stream()
                .anyMatch(each -> atMs >= each.fromMs() && atMs <= each.endMs().get() + CONTACT_MS);
    }

    /** Starts callers of streams and of other requests, which keep their connections. */
    private void startCallers(GatewayProcess process, ExecutorService callers) {
        long intervalMs =
                Math.min(
                        MAX_REQUEST_INTERVAL_MS,
                        Math.max(
                                MIN_REQUEST_INTERVAL_MS,
                                2_000L * mOptions.instances() / MAX_TOTAL_REQUESTS_PER_SECOND));
        for (String path : List.of("/digest/x", "/stock/x", "/book/x")) {
            callers.execute(() -> call(process, path, intervalMs));
        }
        callers.execute(() -> probeConfiguration(process, intervalMs));
    }

    private void probeConfiguration(GatewayProcess process, long intervalMs) {
        PlatformClient client = process.callerClient();
        for (int i = 0; !mStopped; i++) {
            long sentMs = ArrivalLog.nowMs();
            int start = mDisturbances.get(process.id()).size();
            mConfiguration.probe(client, newId(process, "/"), process.id(), start, i);
            sleepUntil(sentMs + intervalMs);
        }
    }

    private void call(GatewayProcess process, String path, long intervalMs) {
        PlatformClient client = process.callerClient();
        long nextMs = ArrivalLog.nowMs();
        while (!mStopped) {
            PlatformClient.Response response =
                    path.startsWith("/digest")
                            ? callModel(process, client, path)
                            : client.sendPlain(
                                    newId(process, "/"),
                                    path.startsWith("/book") ? "POST" : "GET",
                                    path,
                                    API_KEY);
            mStatuses.merge(response.status(), 1, Integer::sum);
            if (response.status() == 503 && response.retryAfter().isEmpty()) {
                mViolations.add("A refusal has no time to come back: " + response.body());
            }
            nextMs = Math.max(nextMs + intervalMs, ArrivalLog.nowMs());
            sleepUntil(nextMs);
        }
    }

    private String newId(GatewayProcess process, String mark) {
        return process.id() + mark + mNextRequest.incrementAndGet();
    }

    /** Sends a sound request to the model, or one with the part that crashes replicas. */
    private PlatformClient.Response callModel(
            GatewayProcess process, PlatformClient client, String path) {
        long sentMs = ArrivalLog.nowMs();
        boolean crashing =
                sentMs >= mCrashingFromMs
                        && ThreadLocalRandom.current().nextDouble() < CRASHING_SHARE;
        String id = newId(process, crashing ? CRASHING_MARK : "/");
        String prompt = "book:300,chapter" + Math.floorMod(id.hashCode(), 20);
        PlatformClient.Response response =
                client.sendStream(
                        id, path, API_KEY, crashing ? prompt + ":200," + CRASHING_PART : prompt);
        if (!crashing) {
            // Limits and outages refuse sound requests as well, but with another status.
            boolean refused = response.status() == STATUS_CRASHING_PART;
            mCrashingPart.recordSound(process.id(), sentMs, !refused);
        }
        return response;
    }

    private void scheduleFaults(ScheduledExecutorService faults) {
        schedule(faults, 2_000 + mRandom.nextInt(4_000), this::startCrashingPart);
        for (long atMs = 500; atMs < seconds() * 1_000L; atMs += 300 + mRandom.nextInt(1_500)) {
            String replica = pick(new ArrayList<>(mCheckers.keySet()));
            String limit = mRandom.nextInt(5) == 0 ? null : pick(LIMITS);
            schedule(faults, atMs, () -> setLimit(replica, limit));
        }
        for (long atMs = 0; atMs < seconds() * 1_000L; atMs += COPY_INTERVAL_MS) {
            schedule(faults, atMs, mConfiguration::copy);
        }
        for (long atMs = 1_000; atMs < seconds() * 1_000L; atMs += 500 + mRandom.nextInt(4_000)) {
            schedule(faults, atMs, mConfiguration::change);
        }
        for (long atMs = 3_000; atMs < seconds() * 1_000L; atMs += 500 + mRandom.nextInt(5_000)) {
            Runnable fault = drawFault();
            schedule(faults, atMs, fault);
        }
    }

    /**
     * Draws stops from a series of their own, which leaves the other faults of a seed as they are.
     */
    private void scheduleStops(ScheduledExecutorService stops) {
        Random random = new Random(~mOptions.seed());
        List<GatewayProcess> processes = new ArrayList<>(mProcesses.values());
        long endMs = TimeUnit.SECONDS.toMillis(seconds()) - STOP_MS;
        for (long atMs = FIRST_STOP_MS; atMs < endMs; atMs += nextStopMs(random)) {
            GatewayProcess process = processes.get(random.nextInt(processes.size()));
            StopLoad.Plan plan = StopLoad.Plan.draw(random);
            schedule(stops, atMs, () -> stopAsPlanned(process, plan));
        }
    }

    /** Draws cold returns from a series of their own. */
    private void scheduleColdReturns(ScheduledExecutorService faults) {
        Random random = new Random(mOptions.seed() ^ COLD_RETURN_SERIES);
        long endMs = TimeUnit.SECONDS.toMillis(seconds());
        long atMs = FIRST_COLD_RETURN_MS + random.nextInt(MAX_COLD_RETURN_INTERVAL_MS);
        while (atMs < endMs) {
            String replica = "pool-" + (1 + random.nextInt(REPLICAS_PER_SERVICE));
            long durationMs = MIN_DOWN_MS + random.nextInt(MAX_DOWN_MS);
            schedule(faults, atMs, () -> returnCold(replica, durationMs));
            atMs += MAX_COLD_RETURN_INTERVAL_MS / 2 + random.nextInt(MAX_COLD_RETURN_INTERVAL_MS);
        }
    }

    private long nextStopMs(Random random) {
        return (MIN_STOP_INTERVAL_MS + random.nextInt(MIN_STOP_INTERVAL_MS)) / mProcesses.size();
    }

    private int seconds() {
        return mOptions.seconds();
    }

    private <T> T pick(List<T> list) {
        return list.get(mRandom.nextInt(list.size()));
    }

    private void schedule(ScheduledExecutorService faults, long atMs, Runnable action) {
        faults.schedule(action, atMs, TimeUnit.MILLISECONDS);
    }

    private Runnable drawFault() {
        GatewayProcess process = pick(new ArrayList<>(mProcesses.values()));
        String replica = pick(new ArrayList<>(mCheckers.keySet()));
        long durationMs = 500 + mRandom.nextInt(5_000);
        KvStoreStandIn.Mode mode =
                mRandom.nextBoolean()
                        ? KvStoreStandIn.Mode.REJECTING
                        : KvStoreStandIn.Mode.UNRESPONSIVE;
        long copyAgeMs = mRandom.nextInt(9_000);
        long rewriteDelayMs = mRandom.nextBoolean() ? 0 : mRandom.nextInt(500);
        return switch (mRandom.nextInt(8)) {
            case 0 -> () -> restart(process, "TERM");
            case 1 -> () -> restart(process, "KILL");
            case 2 -> () -> freeze(process, durationMs);
            case 3 -> () -> signal(process, "HUP");
            case 4 -> () -> interruptStore(mode, durationMs);
            case 5, 6 -> () -> restoreStore(mode, durationMs / 2, copyAgeMs, rewriteDelayMs);
            default -> () -> restartReplica(replica, durationMs);
        };
    }

    private void note(String event) {
        double seconds = (ArrivalLog.nowMs() - mStartedMs) / 1_000.0;
        mEvents.add(String.format(Locale.ROOT, "%.1f %s", seconds, event));
    }

    private void startCrashingPart() {
        note("requests with a part that crashes replicas begin");
        mFleet.replicas().forEach(each -> each.setCrashingParts(Set.of(CRASHING_PART)));
        mCrashingFromMs = ArrivalLog.nowMs();
    }

    private void setLimit(String replica, String limit) {
        note(replica + " states " + limit);
        mCheckers.get(replica).setLimit(limit);
        if (limit == null) {
            mLiftedMs.put(replica, ArrivalLog.nowMs());
        } else {
            mLiftedMs.remove(replica);
        }
    }

    private void restart(GatewayProcess process, String signal) {
        synchronized (process) {
            Disturbance disturbance = beginDisturbance(process);
            signal(process, signal);
            process.awaitExit();
            if (!mStopped) {
                process.start();
                PlatformFleet.await(process.id() + " is ready again", process::isReady);
            }
            disturbance.endMs().set(ArrivalLog.nowMs());
        }
    }

    private void stopAsPlanned(GatewayProcess process, StopLoad.Plan plan) {
        synchronized (process) {
            if (!process.isReady()) {
                note(process.id() + " is not ready and is not stopped as planned");
                return;
            }
            Disturbance disturbance = beginDisturbance(process);
            try {
                mStops.stop(process, plan);
                process.start();
                PlatformFleet.await(process.id() + " is ready again", process::isReady);
            } catch (RuntimeException | AssertionError e) {
                mViolations.add("The planned stop of " + process.id() + " failed: " + e);
            }
            disturbance.endMs().set(ArrivalLog.nowMs());
        }
    }

    private void freeze(GatewayProcess process, long durationMs) {
        synchronized (process) {
            Disturbance disturbance = beginDisturbance(process);
            signal(process, "STOP");
            sleepUntil(ArrivalLog.nowMs() + durationMs);
            signal(process, "CONT");
            disturbance.endMs().set(ArrivalLog.nowMs());
        }
    }

    private Disturbance beginDisturbance(GatewayProcess process) {
        Disturbance disturbance =
                new Disturbance(ArrivalLog.nowMs(), new AtomicLong(Long.MAX_VALUE - CONTACT_MS));
        mDisturbances.get(process.id()).add(disturbance);
        return disturbance;
    }

    private void signal(GatewayProcess process, String name) {
        note(process.id() + " gets " + name);
        process.signal(name);
    }

    private void interruptStore(KvStoreStandIn.Mode mode, long durationMs) {
        note("the store is " + mode);
        mConfiguration.interruptStore(mode, durationMs);
    }

    private void restoreStore(
            KvStoreStandIn.Mode mode, long durationMs, long copyAgeMs, long rewriteDelayMs) {
        note("the store is " + mode + " and returns from a copy, age " + copyAgeMs + " ms");
        mConfiguration.restoreStore(mode, durationMs, copyAgeMs, rewriteDelayMs);
        note("the store has returned");
    }

    /** Restarts a replica under the same id; the new process states no limit. */
    private void restartReplica(String id, long durationMs) {
        synchronized (mCheckers.get(id)) {
            note(id + " restarts");
            ReplicaStandIn replica = noteRestart(id);
            replica.crash();
            sleepUntil(ArrivalLog.nowMs() + durationMs);
            replica.start().register("ready", 0, System.currentTimeMillis());
        }
    }

    /** Records that a replica stops; its next process states no limit. */
    private ReplicaStandIn noteRestart(String id) {
        ReplicaStandIn replica = mCheckers.get(id).replica();
        mReplicaRestartsMs
                .computeIfAbsent(replica, key -> new CopyOnWriteArrayList<>())
                .add(ArrivalLog.nowMs());
        setLimit(id, null);
        return replica;
    }

    private void returnCold(String id, long durationMs) {
        synchronized (mCheckers.get(id)) {
            note(id + " refuses connections and returns cold");
            ReplicaStandIn replica = noteRestart(id);
            mColdReturns.returnCold(id, replica, () -> sleepUntil(ArrivalLog.nowMs() + durationMs));
            note(id + " is back");
        }
    }

    /** Returns when a replica crashed or was restarted first, at or after a time. */
    private long nextBreakMs(ReplicaStandIn replica, long fromMs) {
        return Stream.concat(
                        replica.crashes().all().stream().map(ArrivalLog.Arrival::atMs),
                        mReplicaRestartsMs.getOrDefault(replica, List.of()).stream())
                .filter(atMs -> atMs >= fromMs)
                .min(Long::compare)
                .orElse(Long.MAX_VALUE);
    }

    /** Checks that replicas whose limit ended get requests again. */
    private void checkReturns() {
        long nowMs = ArrivalLog.nowMs();
        mLiftedMs.forEach(
                (replica, liftedMs) -> {
                    boolean longAgo = nowMs - liftedMs > RETURN_MS;
                    int arrivals = mCheckers.get(replica).replica().arrivals().countSince(liftedMs);
                    if (longAgo && arrivals == 0) {
                        mViolations.add(replica + " gets no requests after the end of its limit");
                    }
                });
    }

    /** Checks that no booking was executed twice. */
    private void checkExecutions() {
        Map<String, Integer> bookings = new HashMap<>();
        for (ReplicaStandIn replica : mFleet.replicas()) {
            replica.executedRequests().stream()
                    .filter(execution -> execution.uri().startsWith("/book/"))
                    .forEach(each -> bookings.merge(each.requestId(), 1, Integer::sum));
        }
        bookings.forEach(
                (id, executions) -> {
                    if (executions > 1) {
                        mViolations.add("The booking " + id + " was executed more than once");
                    }
                });
    }

    private static void sleepUntil(long timeMs) {
        try {
            Thread.sleep(Math.max(0, timeMs - ArrivalLog.nowMs()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void close() {
        mStopped = true;
        mStops.close();
        endProcesses();
        mFleet.close();
    }

    private void endProcesses() {
        mProcesses.values().forEach(GatewayProcess::close);
    }
}
