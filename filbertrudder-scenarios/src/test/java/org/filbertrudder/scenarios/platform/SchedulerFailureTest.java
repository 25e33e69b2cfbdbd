package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.filbertrudder.standins.platform.ArrivalLog;
import org.filbertrudder.standins.platform.ReplicaStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests processes of scheduled services when the scheduler or an instance that asks it fails. */
public class SchedulerFailureTest {

    private static final int SLOTS = 4;
    private static final int CALLERS_PER_PROCESS = 6;
    private static final long REQUEST_INTERVAL_MS = 20;
    private static final long RETRY_INTERVAL_MS = 250;
    private static final long FREEZE_MS = 3_000;
    private static final long LOAD_MS = 1_500;

    /** The time after which instances agree on a scheduler that knows all running requests. */
    private static final long SETTLING_MS = 5_000;

    /** The deadline of callers; until then, slots of lost requests that have not begun are held. */
    private static final long DEADLINE_MS = 8_000;

    private static final Set<Integer> NOT_RUN = Set.of(429, 503);
    private static final int EVENTS = 8;

    private final Map<String, GatewayProcess> mProcesses = new TreeMap<>();
    private final Queue<Answer> mAnswers = new ConcurrentLinkedQueue<>();
    private ExecutorService mCallers;
    private PlatformFleet mFleet;
    private Path mDirectory;
    private volatile boolean mStopped;

    private record Answer(String process, PlatformClient.Response response) {}

    @BeforeMethod
    public void startFleet() throws IOException {
        mStopped = false;
        mAnswers.clear();
        mCallers = Executors.newCachedThreadPool();
        mDirectory = Files.createTempDirectory("scheduler-failure");
        mFleet = new PlatformFleet("mtl", "sag");
        mFleet.writeConfiguration(true);
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() {
        mStopped = true;
        mCallers.shutdownNow();
        mProcesses.values().forEach(GatewayProcess::close);
        mProcesses.clear();
        mFleet.close();
    }

    /** Guards against waiting requests that are lost with the scheduler, or run twice. */
    @Test
    public void schedulerIsKilledWhileRequestsWait() throws Exception {
        GatewayProcess scheduler = startLoad();

        scheduler.signal("KILL");
        scheduler.awaitExit();

        checkRecovery(scheduler);
        checkAnswers(Set.of(scheduler.id()));
    }

    /** Guards against late decisions of a scheduler that others have replaced. */
    @Test
    public void schedulerIsFrozenWhileRequestsWait() throws Exception {
        GatewayProcess scheduler = startLoad();

        scheduler.signal("STOP");
        Thread.sleep(FREEZE_MS);
        scheduler.signal("CONT");

        checkRecovery(null);
        checkAnswers(Set.of(scheduler.id()));
        assertTrue(
                mAnswers.stream().noneMatch(each -> each.response().status() == 0),
                "requests without an answer");
    }

    /** Guards against requests that a planned stop of the scheduler refuses, loses or repeats. */
    @Test
    public void schedulerStopsUnderLoad() throws Exception {
        GatewayProcess scheduler = startLoad();

        scheduler.signal("TERM");
        scheduler.awaitExit();

        checkRecovery(scheduler);
        // A stopped process refuses connections.
        mAnswers.removeIf(
                each ->
                        each.process().equals(scheduler.id())
                                && each.response().status() == 0
                                && runs(each.response().requestId()) == 0);
        checkAnswers(Set.of());
    }

    /** Guards against slots that stay occupied after the instance whose requests held them. */
    @Test
    public void askingInstanceIsKilledWhileItsRequestsRun() {
        mFleet.setRouteTimeoutMs(DEADLINE_MS);
        mFleet.writeConfiguration(true);
        startProcesses("mtl", 3, true);
        ReplicaStandIn replica = startReplica("pool-1", "mtl", 2);
        replica.setEventIntervalMs(200);
        replica.acceptAboveSlots();
        GatewayProcess scheduler = awaitScheduler();
        List<GatewayProcess> askers =
                mProcesses.values().stream().filter(each -> each != scheduler).toList();
        PlatformFleet.await("no request runs", () -> replica.running() == 0);
        long sentMs = ArrivalLog.nowMs();
        send(askers.get(0));
        send(askers.get(0));
        PlatformFleet.await("both slots are occupied", () -> replica.running() == 2);

        askers.get(0).signal("KILL");
        askers.get(0).awaitExit();

        PlatformFleet.await(
                "both slots are free for another instance",
                () -> {
                    CompletableFuture<Integer> first = send(askers.get(1));
                    return send(askers.get(1)).join() == 200 && first.join() == 200;
                });
        long freeAfterMs = ArrivalLog.nowMs() - sentMs;
        assertTrue(freeAfterMs < DEADLINE_MS, "slots are free after " + freeAfterMs + " ms only");
        assertTrue(replica.takePeakRunning() <= 2, "more requests ran than the replica has slots");
        checkAnswers(Set.of(askers.get(0).id()));
    }

    /** Guards against requests that wait or are refused while another region has room. */
    @Test
    public void requestsLeaveARegionWhoseEnginesAreFull() throws Exception {
        startProcesses("mtl", 2, true);
        startProcesses("sag", 1, true);
        startReplica("pool-mtl", "mtl", 2).setEventIntervalMs(50);
        ReplicaStandIn spare = startReplica("pool-sag", "sag", 64);
        awaitAllListed();
        startCallers("mtl");

        PlatformFleet.await(
                "the scheduler has forwarded requests",
                () -> sum("starts_forwarded") >= 10 && spare.executedRequests().size() >= 10);

        stopCallers();
        checkAnswers(Set.of());
        long forwarded =
                mAnswers.stream()
                        .filter(each -> each.response().status() == 200)
                        .filter(each -> spare.executionCount(each.response().requestId()) == 1)
                        .count();
        assertTrue(forwarded >= 10, forwarded + " answers of the other region");
    }

    /** Guards against a scheduler without a stated pace, and requests lost when one begins. */
    @Test
    public void serviceIsScheduledOnceAResponseStatesThePace() throws Exception {
        startProcesses("mtl", 3, false);
        List<ReplicaStandIn> replicas =
                List.of(startReplica("pool-1", "mtl", SLOTS), startReplica("pool-2", "mtl", SLOTS));
        awaitAllListed();
        startCallers("mtl");
        PlatformFleet.await("requests are answered", () -> mAnswers.size() > 100);
        assertEquals(sum("starts_decided"), 0, "starts decided without a stated pace");

        replicas.forEach(replica -> replica.setPacePercent(150));

        PlatformFleet.await("a scheduler decides", () -> sum("starts_decided") > 0);
        Thread.sleep(SETTLING_MS);
        replicas.forEach(ReplicaStandIn::acceptAboveSlots);
        checkRecovery(null);
        checkAnswers(Set.of());
    }

    /** Starts processes and load; returns the scheduler when requests wait for its decisions. */
    private GatewayProcess startLoad() throws Exception {
        startProcesses("mtl", 3, true);
        startReplica("pool-1", "mtl", SLOTS).acceptAboveSlots();
        startReplica("pool-2", "mtl", SLOTS).acceptAboveSlots();
        GatewayProcess scheduler = awaitScheduler();
        Thread.sleep(SETTLING_MS);
        mFleet.replicas().forEach(ReplicaStandIn::takePeakRunning);
        startCallers("mtl");
        Thread.sleep(LOAD_MS);
        PlatformFleet.await("requests wait", () -> scheduler.metric("starts_waiting") > 0);
        checkPeaks(SLOTS);
        return scheduler;
    }

    private ReplicaStandIn startReplica(String id, String region, int slots) {
        return mFleet.startReplica(id, PlatformFleet.MODEL_SERVICE, region, slots);
    }

    private void startProcesses(String region, int count, boolean limitsUnreadBytes) {
        String prefix = LimitSoak.addressPrefix();
        List<GatewayProcess> started = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            String id = region + "-" + i;
            String host = prefix + (mProcesses.size() + 31);
            GatewayProcess process =
                    new GatewayProcess(
                            id,
                            host,
                            host,
                            region,
                            List.of("mtl", "sag"),
                            List.of(prefix + 31),
                            mFleet.storePort(),
                            mDirectory);
            if (limitsUnreadBytes) {
                process.setLimitsUnreadBytes();
            }
            mProcesses.put(id, process);
            process.start();
            started.add(process);
        }
        started.forEach(each -> PlatformFleet.await(each.id() + " is ready", each::isReady));
    }

    /** Waits until all instances know each other, as only then all choose the same scheduler. */
    private void awaitAllListed() {
        for (GatewayProcess process : mProcesses.values()) {
            PlatformClient client = new PlatformClient(process.directoryAddress());
            PlatformFleet.await(
                    process.id() + " lists all instances",
                    () ->
                            PlatformFleet.listedInstances(client, List.of("mtl", "sag")).size()
                                    == mProcesses.size());
        }
    }

    /** Sends requests through each instance and returns the one that has decided on them. */
    private GatewayProcess awaitScheduler() {
        awaitAllListed();
        // Requests may start without a scheduler until an instance knows that a replica is warm.
        PlatformFleet.await(
                "a scheduler has decided",
                () -> {
                    mProcesses.values().forEach(each -> send(each).join());
                    return sum("starts_decided") >= mProcesses.size();
                });
        List<GatewayProcess> schedulers =
                mProcesses.values().stream()
                        .filter(each -> each.metric("starts_decided") > 0)
                        .toList();
        assertEquals(schedulers.size(), 1, "instances that schedule");
        return schedulers.get(0);
    }

    private long sum(String metric) {
        return mProcesses.values().stream()
                .filter(GatewayProcess::isAlive)
                .mapToLong(each -> each.metric(metric))
                .sum();
    }

    private CompletableFuture<Integer> send(GatewayProcess process) {
        PlatformClient client = process.callerClient();
        return CompletableFuture.supplyAsync(() -> send(process, client), mCallers);
    }

    private int send(GatewayProcess process, PlatformClient client) {
        PlatformClient.Response response = client.sendStream("/chat/x", "key-club", "s");
        mAnswers.add(new Answer(process.id(), response));
        return response.status();
    }

    private void startCallers(String region) {
        for (GatewayProcess process : mProcesses.values()) {
            for (int i = 0; i < CALLERS_PER_PROCESS && process.id().startsWith(region); i++) {
                PlatformClient client = process.callerClient();
                mCallers.execute(
                        () -> {
                            while (!mStopped) {
                                boolean answered = send(process, client) == 200;
                                long pauseMs = answered ? REQUEST_INTERVAL_MS : RETRY_INTERVAL_MS;
                                ArrivalLog.sleepUntil(ArrivalLog.nowMs() + pauseMs);
                            }
                        });
            }
        }
    }

    private void stopCallers() throws InterruptedException {
        mStopped = true;
        mCallers.shutdown();
        assertTrue(mCallers.awaitTermination(20, TimeUnit.SECONDS), "requests without an answer");
    }

    /** Checks that the remaining instances soon have one scheduler again; ends the load. */
    private void checkRecovery(GatewayProcess gone) throws InterruptedException {
        Thread.sleep(SETTLING_MS);
        // Two schedulers may each fill the slots of an engine while instances disagree.
        checkPeaks(2 * SLOTS);
        long decidedBefore = sum("starts_decided");
        Thread.sleep(LOAD_MS);
        PlatformFleet.await("a scheduler decides", () -> sum("starts_decided") > decidedBefore);
        checkPeaks(SLOTS);
        stopCallers();
        for (GatewayProcess process : mProcesses.values()) {
            if (process != gone) {
                PlatformClient.Response response =
                        process.callerClient().sendStream("/chat/x", "key-club", "s");
                assertEquals(response.status(), 200, process.id() + ": " + response.body());
            }
        }
    }

    private void checkPeaks(int allowed) {
        List<Integer> peaks =
                mFleet.replicas().stream().map(ReplicaStandIn::takePeakRunning).toList();
        assertTrue(
                peaks.stream().allMatch(peak -> peak <= allowed),
                peaks + " requests ran at a time; allowed " + allowed);
    }

    /** Checks all answers; those of failed instances may be lost or in error. */
    private void checkAnswers(Set<String> failed) {
        List<String> violations = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        Map<Integer, Integer> statuses = new TreeMap<>();
        for (Answer answer : mAnswers) {
            PlatformClient.Response response = answer.response();
            int status = response.status();
            int runs = runs(response.requestId());
            boolean wrong =
                    !ids.add(response.requestId())
                            || runs > 1
                            || (status == 200 && (runs != 1 || !hasAllEvents(response.body())))
                            || (NOT_RUN.contains(status) && runs > 0)
                            || (status != 200
                                    && !NOT_RUN.contains(status)
                                    && !failed.contains(answer.process()));
            if (wrong) {
                violations.add("ran " + runs + " times: " + answer);
            }
            statuses.merge(status, 1, Integer::sum);
        }
        assertEquals(violations, List.of(), "answers by status: " + statuses);
        assertTrue(statuses.getOrDefault(200, 0) > 0, statuses.toString());
    }

    private int runs(String requestId) {
        return mFleet.replicas().stream().mapToInt(each -> each.executionCount(requestId)).sum();
    }

    private static boolean hasAllEvents(String body) {
        StringBuilder expected = new StringBuilder();
        for (int i = 1; i <= EVENTS; i++) {
            expected.append("id: ").append(i).append("\ndata: piece ").append(i).append("\n\n");
        }
        return body.contentEquals(expected);
    }
}
