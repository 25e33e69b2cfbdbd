package org.filbertrudder.scenarios.platform;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.filbertrudder.policy.membership.PeerAddress;
import org.filbertrudder.standins.platform.ArrivalLog;
import org.filbertrudder.standins.platform.ReplicaStandIn;

/**
 * Runs gateway processes of two regions whose connections for forwarded requests fall silent or are
 * reset, amid stops, restarts, freezes and changes of the configuration.
 */
public final class ForwardSoak implements AutoCloseable {

    private static final String CALLERS_REGION = "mtl";
    private static final String REPLICAS_REGION = "sag";
    private static final int SLOTS = 64;
    private static final int REPLICAS_PER_SERVICE = 3;
    private static final long REQUEST_INTERVAL_MS = 25;
    private static final long MAX_FREEZE_MS = 1_500;

    /** The time for which a process that was killed or frozen excuses lost answers. */
    private static final long CONTACT_MS = 5_000;

    private static final long ROUTE_TIMEOUT_MS = 4_000;
    private static final Pattern EVENT_ID = Pattern.compile("(?m)^id: ?(\\d+)");

    private final LimitSoak.Options mOptions;
    private final Random mRandom;
    private final PlatformFleet mFleet = new PlatformFleet(CALLERS_REGION, REPLICAS_REGION);
    private final Vertx mVertx = Vertx.vertx();
    private final Map<String, GatewayProcess> mProcesses = new TreeMap<>();
    private final Map<String, LinkProxy> mProxies = new TreeMap<>();
    private final List<ReplicaStandIn> mReplicas = new ArrayList<>();
    private final List<Disturbance> mDisturbances = new CopyOnWriteArrayList<>();
    private final List<Long> mLinkFaultsMs = new CopyOnWriteArrayList<>();
    private final Queue<Request> mRequests = new ConcurrentLinkedQueue<>();
    private final Queue<String> mEvents = new ConcurrentLinkedQueue<>();
    private final AtomicLong mNextRequest = new AtomicLong();
    private volatile boolean mStopped;
    private long mStartedMs;

    private ForwardSoak(LimitSoak.Options options) {
        mOptions = options;
        mRandom = new Random(options.seed());
    }

    /** Runs the processes, the load and the faults, and reports what broke a rule. */
    public static LimitSoak.Report run(LimitSoak.Options options) {
        try (ForwardSoak soak = new ForwardSoak(options)) {
            return soak.run();
        }
    }

    /**
     * A time in which a process was stopped, killed or frozen.
     *
     * @param ofAll whether requests at other processes are excused as well
     */
    private record Disturbance(String process, boolean ofAll, long fromMs, AtomicLong endMs) {

        boolean excuses(Request request) {
            return (ofAll || process.equals(request.process()))
                    && fromMs <= request.endMs()
                    && endMs.get() + CONTACT_MS >= request.sentMs();
        }
    }

    private record Request(
            String id,
            String process,
            String path,
            long sentMs,
            long endMs,
            int status,
            String body) {}

    private LimitSoak.Report run() {
        startFleet();
        mStartedMs = ArrivalLog.nowMs();
        ExecutorService callers = Executors.newCachedThreadPool();
        for (GatewayProcess process : mProcesses.values()) {
            for (String path : List.of("/book/x", "/stock/x", "/digest/x", "/chat/x")) {
                callers.execute(() -> call(process, path));
            }
        }
        ScheduledExecutorService faults = Executors.newScheduledThreadPool(8);
        scheduleFaults(faults);
        sleep(TimeUnit.SECONDS.toMillis(mOptions.seconds()));
        faults.shutdown();
        await(faults);
        mStopped = true;
        callers.shutdown();
        await(callers);
        Map<Integer, Integer> statuses = new TreeMap<>();
        mRequests.forEach(request -> statuses.merge(request.status(), 1, Integer::sum));
        return new LimitSoak.Report(violations(), statuses, new TreeMap<>(), List.copyOf(mEvents));
    }

    private void startFleet() {
        mFleet.writeConfiguration(true);
        for (int i = 1; i <= REPLICAS_PER_SERVICE; i++) {
            mReplicas.add(startReplica("pool-" + i, PlatformFleet.MODEL_SERVICE));
            mReplicas.add(startReplica("desk-" + i, PlatformFleet.BOOKING_SERVICE));
        }
        String prefix = LimitSoak.addressPrefix();
        List<String> seeds = List.of(prefix + 101, prefix + 102);
        for (int i = 1; i <= mOptions.instances(); i++) {
            String id = "edge-" + i;
            GatewayProcess process =
                    new GatewayProcess(
                            id,
                            prefix + i,
                            prefix + (100 + i),
                            i % 2 == 1 ? CALLERS_REGION : REPLICAS_REGION,
                            List.of(CALLERS_REGION, REPLICAS_REGION),
                            seeds,
                            mFleet.storePort(),
                            mOptions.directory());
            if (isScheduled()) {
                process.setLimitsUnreadBytes();
            }
            PeerAddress target = process.forwardAddress();
            mProxies.put(
                    id,
                    new LinkProxy(
                            mVertx, new PeerAddress(prefix + (100 + i), target.port()), target));
            mProcesses.put(id, process);
            process.start();
        }
        mProcesses
                .values()
                .forEach(
                        process ->
                                PlatformFleet.await(process.id() + " is ready", process::isReady));
    }

    /** Returns whether a scheduler starts the prompts, as it does with every second seed. */
    private boolean isScheduled() {
        return mOptions.seed() % 2 == 0;
    }

    private ReplicaStandIn startReplica(String id, String service) {
        return mFleet.startReplica(id, service, REPLICAS_REGION, SLOTS);
    }

    private void call(GatewayProcess process, String path) {
        PlatformClient client = process.callerClient();
        boolean stream = path.startsWith("/digest") || path.startsWith("/chat");
        while (!mStopped) {
            String id = process.id() + "/" + mNextRequest.incrementAndGet();
            long sentMs = ArrivalLog.nowMs();
            PlatformClient.Response response =
                    stream
                            ? client.sendStream(id, path, "key-club", "book:300,chapter")
                            : client.sendPlain(
                                    id,
                                    path.startsWith("/book") ? "POST" : "GET",
                                    path,
                                    "key-club");
            mRequests.add(
                    new Request(
                            id,
                            process.id(),
                            path,
                            sentMs,
                            ArrivalLog.nowMs(),
                            response.status(),
                            response.body()));
            sleep(REQUEST_INTERVAL_MS);
        }
    }

    private void scheduleFaults(ScheduledExecutorService faults) {
        long endMs = TimeUnit.SECONDS.toMillis(mOptions.seconds()) - CONTACT_MS;
        for (long atMs = 500; atMs < endMs; atMs += 300 + mRandom.nextInt(1_700)) {
            String process = pick();
            int kind = mRandom.nextInt(4);
            faults.schedule(() -> disturbLinks(process, kind), atMs, TimeUnit.MILLISECONDS);
        }
        for (long atMs = 1_000; atMs < endMs; atMs += 500 + mRandom.nextInt(5_000)) {
            faults.schedule(this::changeConfiguration, atMs, TimeUnit.MILLISECONDS);
        }
        // The first half has no faults of processes, so that nothing excuses a lost answer there.
        for (long atMs = endMs / 2; atMs < endMs; atMs += 1_000 + mRandom.nextInt(4_000)) {
            GatewayProcess process = mProcesses.get(pick());
            long freezeMs = 100 + mRandom.nextLong(MAX_FREEZE_MS);
            int kind = mRandom.nextInt(4);
            faults.schedule(
                    () -> disturbProcess(process, kind, freezeMs), atMs, TimeUnit.MILLISECONDS);
        }
    }

    private String pick() {
        return "edge-" + (1 + mRandom.nextInt(mOptions.instances()));
    }

    private void disturbLinks(String process, int kind) {
        LinkProxy proxy = mProxies.get(process);
        mLinkFaultsMs.add(ArrivalLog.nowMs());
        switch (kind) {
            case 0 -> proxy.silence(true, true);
            case 1 -> proxy.silence(true, false);
            case 2 -> proxy.silence(false, true);
            default -> proxy.reset();
        }
        note("links to " + process + (kind == 3 ? " are reset" : " fall silent, kind " + kind));
    }

    private void changeConfiguration() {
        mFleet.addedRoutes().add("/added-" + mNextRequest.incrementAndGet() + "/");
        note("configuration " + mFleet.writeConfiguration(true));
    }

    private synchronized void disturbProcess(GatewayProcess process, int kind, long freezeMs) {
        if (kind == 3) {
            note(process.id() + " gets HUP");
            process.signal("HUP");
            return;
        }
        Disturbance disturbance =
                new Disturbance(
                        process.id(),
                        kind != 0,
                        ArrivalLog.nowMs(),
                        new AtomicLong(Long.MAX_VALUE / 2));
        mDisturbances.add(disturbance);
        if (kind == 2) {
            note(process.id() + " is frozen for " + freezeMs + " ms");
            process.signal("STOP");
            sleep(freezeMs);
            process.signal("CONT");
        } else {
            String signal = kind == 0 ? "TERM" : "KILL";
            note(process.id() + " gets " + signal);
            process.signal(signal);
            process.awaitExit();
            process.start();
            PlatformFleet.await(process.id() + " is ready", process::isReady);
        }
        note(process.id() + " is back");
        disturbance.endMs().set(ArrivalLog.nowMs());
    }

    private List<String> violations() {
        List<String> violations = new ArrayList<>();
        Map<String, Integer> executions = new ConcurrentHashMap<>();
        mReplicas.forEach(
                replica ->
                        replica.executedRequests()
                                .forEach(
                                        each ->
                                                executions.merge(
                                                        each.requestId(), 1, Integer::sum)));
        for (Request request : mRequests) {
            boolean unsafe =
                    request.path().startsWith("/book") || request.path().startsWith("/chat");
            int runs = executions.getOrDefault(request.id(), 0);
            if (unsafe && runs > 1) {
                violations.add("ran " + runs + " times: " + describe(request));
            }
            if (unsafe && runs > 0 && (request.status() == 503 || request.status() == 429)) {
                violations.add("was said not to have run: " + describe(request));
            }
            if (request.status() == 200 && !hasAllEvents(request.body())) {
                violations.add("events are missing or doubled: " + describe(request));
            }
            if (isLost(request) && !isExcused(request)) {
                violations.add("lost while all processes lived: " + describe(request));
            }
        }
        return violations;
    }

    private static boolean hasAllEvents(String body) {
        Matcher ids = EVENT_ID.matcher(body);
        for (long expected = 1; ids.find(); expected++) {
            if (Long.parseLong(ids.group(1)) != expected) {
                return false;
            }
        }
        return true;
    }

    private static boolean isLost(Request request) {
        return request.status() == 0 || request.status() == 502 || request.status() == 504;
    }

    private boolean isExcused(Request request) {
        // Each fault of a link costs a request about a second.
        long faults =
                mLinkFaultsMs.stream()
                        .filter(atMs -> atMs >= request.sentMs() - 1_000)
                        .filter(atMs -> atMs <= request.endMs())
                        .count();
        boolean timedOut = request.endMs() - request.sentMs() >= ROUTE_TIMEOUT_MS && faults > 2;
        return timedOut || mDisturbances.stream().anyMatch(each -> each.excuses(request));
    }

    private String describe(Request request) {
        return String.format(
                Locale.ROOT,
                "%s %s at %.2f s, %d after %d ms",
                request.id(),
                request.path(),
                (request.sentMs() - mStartedMs) / 1_000.0,
                request.status(),
                request.endMs() - request.sentMs());
    }

    private void note(String event) {
        double seconds = (ArrivalLog.nowMs() - mStartedMs) / 1_000.0;
        mEvents.add(String.format(Locale.ROOT, "%.1f %s", seconds, event));
    }

    private static void sleep(long timeMs) {
        try {
            Thread.sleep(timeMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void await(ExecutorService executor) {
        try {
            if (!executor.awaitTermination(1, TimeUnit.MINUTES)) {
                throw new IllegalStateException("The load or the faults do not end.");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        mStopped = true;
        mProcesses.values().forEach(GatewayProcess::close);
        mProxies.values().forEach(LinkProxy::close);
        mVertx.close();
        mFleet.close();
    }
}
