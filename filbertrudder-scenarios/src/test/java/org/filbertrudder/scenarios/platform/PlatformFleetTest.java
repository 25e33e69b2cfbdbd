package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.filbertrudder.standins.platform.KvStoreStandIn.Mode;
import org.filbertrudder.standins.platform.ReplicaStandIn;
import org.filbertrudder.standins.platform.ReplicaStandIn.Fault;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the promises of the platform's rules with gateway instances over its stand-in. */
public class PlatformFleetTest {

    private static final String KEY = "key-club";
    private static final int EVENTS = 8;

    private PlatformFleet mFleet;

    @BeforeMethod
    public void startFleet() {
        mFleet = new PlatformFleet("mtl", "sag");
        mFleet.configure(true);
        mFleet.startReplica("pool-mtl-1", PlatformFleet.POOL, "mtl", 64);
        mFleet.startReplica("pool-mtl-2", PlatformFleet.POOL, "mtl", 64);
        mFleet.startReplica("pool-sag-1", PlatformFleet.POOL, "sag", 64);
        mFleet.startReplica("desk-mtl-1", PlatformFleet.DESK, "mtl", 16);
        mFleet.startGateway("mtl-1", "mtl");
        mFleet.startGateway("sag-1", "sag");
        awaitMembers("mtl-1", 1);
        awaitMembers("sag-1", 1);
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() {
        mFleet.close();
    }

    /** Waits until the instance names others, so that regions reach each other. */
    private void awaitMembers(String gateway, int others) {
        PlatformCaller caller = mFleet.directory(gateway);
        PlatformFleet.await(
                gateway + " knows the others",
                () -> {
                    String body = caller.get("/resolve?name=x&region=none&zone=none").body();
                    return body.split("127.0.0.1").length - 1 == others + 1;
                });
    }

    private static void assertWholeStream(PlatformCaller.Answer answer) {
        StringBuilder expected = new StringBuilder();
        for (int id = 1; id <= EVENTS; id++) {
            expected.append("id: ").append(id).append("\ndata: piece ").append(id).append("\n\n");
        }
        assertEquals(answer.status(), 200);
        assertEquals(answer.body(), expected.toString());
    }

    private int runs(String requestId) {
        return mFleet.replicas().stream().mapToInt(each -> each.runsOf(requestId)).sum();
    }

    /** Lists paths and whether they are answered by a stream. */
    @DataProvider
    public Object[][] paths() {
        return new Object[][] {{"/chat/x", true}, {"/digest/x", true}, {"/stock/x", false}};
    }

    @Test(dataProvider = "paths")
    public void servesInBothRegionsWithoutShowingTheKey(String path, boolean stream) {
        for (String gateway : List.of("mtl-1", "sag-1")) {
            PlatformCaller caller = mFleet.caller(gateway);
            PlatformCaller.Answer answer =
                    stream ? caller.stream(path, KEY, "s") : caller.plain("GET", path, KEY);

            assertEquals(answer.status(), 200, answer.body());
            assertTrue(answer.signature().isPresent());
        }
        for (ReplicaStandIn replica : mFleet.replicas()) {
            for (ReplicaStandIn.Run run : replica.runs()) {
                assertNull(run.authorization());
                assertEquals(run.account(), "club");
                assertEquals(run.uri(), path);
            }
        }
    }

    /** Lists methods, paths and keys, and the status that they get. */
    @DataProvider
    public Object[][] refusals() {
        return new Object[][] {
            {"/stock/x", "no-such-key", 401},
            {"/stock/x", null, 401},
            {"/nowhere/x", KEY, 404},
            {"/open/x", null, 200},
        };
    }

    @Test(dataProvider = "refusals")
    public void refusesWhatTheConfigurationDoesNotAllow(String path, String key, int status) {
        assertEquals(mFleet.caller("mtl-1").plain("GET", path, key).status(), status);
    }

    /** Lists faults of a replica under which a booking gets no answer, and the final status. */
    @DataProvider
    public Object[][] bookingFaults() {
        return new Object[][] {
            {Fault.BREAK, 502, 1},
            {Fault.ERROR, 500, 1},
            {Fault.FULL, 503, 0},
            {Fault.HANG, 504, 1},
            {Fault.UNSIGNED, 502, 1},
        };
    }

    @Test(dataProvider = "bookingFaults")
    public void aBookingRunsOnceAndARefusalIsTrue(Fault fault, int status, int runs) {
        mFleet.replica("desk-mtl-1").setFault(fault);

        PlatformCaller.Answer answer = mFleet.caller("mtl-1").plain("POST", "/book/x", KEY);

        assertEquals(answer.status(), status, answer.body());
        assertEquals(runs(answer.requestId()), runs);
    }

    @Test
    public void aLookupIsRepeatedAfterAnError() {
        mFleet.startReplica("desk-mtl-2", PlatformFleet.DESK, "mtl", 16);
        awaitRunsAt("desk-mtl-2", "/stock/warm");
        mFleet.replica("desk-mtl-1").setFault(Fault.ERROR);

        for (int i = 0; i < 8; i++) {
            assertEquals(mFleet.caller("mtl-1").plain("GET", "/stock/x", KEY).status(), 200);
        }
    }

    private void awaitRunsAt(String replica, String path) {
        PlatformFleet.await(
                replica + " gets requests",
                () -> {
                    mFleet.caller("mtl-1").plain("GET", path, KEY);
                    return !mFleet.replica(replica).runs().isEmpty();
                });
    }

    @Test
    public void aBrokenStreamGoesOnElsewhereWithoutAGap() {
        PlatformCaller.Answer first = mFleet.caller("mtl-1").stream("/digest/x", KEY, "subject");
        String home =
                mFleet.replica("pool-mtl-1").runsOf(first.requestId()) > 0
                        ? "pool-mtl-1"
                        : "pool-mtl-2";
        mFleet.replica(home).setFault(Fault.BREAK);

        PlatformCaller.Answer answer = mFleet.caller("mtl-1").stream("/digest/x", KEY, "subject");

        assertWholeStream(answer);
        assertEquals(runs(answer.requestId()), 2);
    }

    /** Lists how an engine falls silent. */
    @DataProvider
    public Object[][] silences() {
        return new Object[][] {{Fault.MUTE}, {Fault.HANG}};
    }

    @Test(dataProvider = "silences")
    public void aStreamOfASilentEngineGoesOnElsewhere(Fault fault) {
        PlatformCaller.Answer first = mFleet.caller("mtl-1").stream("/digest/x", KEY, "subject");
        mFleet.replicas().stream()
                .filter(replica -> replica.runsOf(first.requestId()) > 0)
                .forEach(replica -> replica.setFault(fault));

        PlatformCaller.Answer answer = mFleet.caller("mtl-1").stream("/digest/x", KEY, "subject");

        assertWholeStream(answer);
        assertEquals(runs(answer.requestId()), 2);
    }

    @Test
    public void aStreamThatMustNotBeResumedNeverLooksWhole() {
        mFleet.replicas().forEach(replica -> replica.setFault(Fault.BREAK));

        PlatformCaller.Answer answer = mFleet.caller("mtl-1").stream("/chat/x", KEY, "s");

        assertEquals(answer.status(), 0);
        assertEquals(runs(answer.requestId()), 1);
    }

    @Test
    public void requestsWithHomesAreRunOnlyThere() {
        for (int i = 0; i < 10; i++) {
            assertWholeStream(mFleet.caller("sag-1").stream("/label/x", KEY, "s" + i));
        }

        assertTrue(mFleet.replica("pool-sag-1").runs().isEmpty());
    }

    @Test
    public void theHomesOfRouteAndAccountBindBoth() {
        PlatformCaller caller = mFleet.caller("mtl-1");
        assertWholeStream(caller.stream("/chat/x", "key-home", "s"));
        PlatformCaller.Answer refused = caller.stream("/label/x", "key-home", "s");

        assertEquals(mFleet.replica("pool-sag-1").runs().size(), 1);
        assertEquals(refused.status(), 503);
        assertTrue(refused.retryAfter().isEmpty(), "Coming back does not help.");
        assertEquals(runs(refused.requestId()), 0);
    }

    @Test
    public void aWithdrawnKeyStopsWorkingAtAllInstances() {
        mFleet.keys().remove(KEY);
        mFleet.configure(true);

        for (String gateway : List.of("mtl-1", "sag-1")) {
            PlatformCaller caller = mFleet.caller(gateway);
            PlatformFleet.await(
                    "the key is refused at " + gateway,
                    () -> caller.plain("GET", "/stock/x", KEY).status() == 401);
            assertEquals(caller.plain("GET", "/stock/x", "key-other").status(), 200);
        }
    }

    @Test
    public void aNewRouteIsServedAndARemovedOneIsNot() {
        PlatformCaller caller = mFleet.caller("mtl-1");
        mFleet.configure(false);
        PlatformFleet.await(
                "the route is gone", () -> caller.plain("POST", "/book/x", KEY).status() == 404);

        mFleet.configure(true);

        // What was added right now is looked up in newer state before it is refused.
        assertEquals(caller.plain("POST", "/book/x", KEY).status(), 200);
    }

    @Test
    public void withoutTheStoreKeysAreTrustedForALimitedTimeOnly() {
        PlatformCaller caller = mFleet.caller("mtl-1");
        mFleet.store().setMode(Mode.SILENT);

        assertEquals(caller.plain("GET", "/stock/x", KEY).status(), 200);
        PlatformFleet.await(
                "keys are no longer trusted",
                () -> caller.plain("GET", "/stock/x", KEY).status() == 503);
        PlatformCaller.Answer refused = caller.plain("POST", "/book/x", KEY);
        assertEquals(refused.status(), 503);
        assertTrue(refused.retryAfter().isPresent());
        assertEquals(runs(refused.requestId()), 0);
        assertEquals(caller.plain("GET", "/open/x", null).status(), 200);

        mFleet.store().setMode(Mode.SERVING);
        PlatformFleet.await(
                "keys work again", () -> caller.plain("GET", "/stock/x", KEY).status() == 200);
    }

    @Test
    public void withoutTheStoreAnUnknownKeyMayBeANewOne() {
        PlatformCaller caller = mFleet.caller("mtl-1");
        assertEquals(caller.plain("GET", "/stock/x", "key-new").status(), 401);
        mFleet.store().setMode(Mode.SILENT);

        PlatformCaller.Answer refused = caller.plain("GET", "/stock/x", "key-new");

        assertEquals(refused.status(), 503, refused.body());
        assertEquals(caller.plain("GET", "/nowhere/x", KEY).status(), 503);
    }

    @Test
    public void aLeavingReplicaGetsNoNewWork() {
        mFleet.replica("pool-mtl-1").register("draining", 0);
        mFleet.replica("pool-mtl-2").register("draining", 0);
        PlatformCaller caller = mFleet.caller("mtl-1");
        PlatformFleet.await(
                "requests go elsewhere",
                () -> {
                    PlatformCaller.Answer answer = caller.stream("/digest/x", KEY, "s");
                    return mFleet.replica("pool-sag-1").runsOf(answer.requestId()) == 1;
                });
    }

    @Test
    public void anEvacuatedDomainGetsNothingUntilItIsTakenBack() {
        PlatformCaller caller = mFleet.caller("mtl-1");
        mFleet.store().put("op/evacuate/mtl-a", "{}");
        PlatformFleet.await(
                "requests leave the domain",
                () -> {
                    PlatformCaller.Answer answer = caller.stream("/chat/x", KEY, "s");
                    return mFleet.replica("pool-sag-1").runsOf(answer.requestId()) == 1;
                });

        mFleet.store().delete("op/evacuate/mtl-a");

        PlatformFleet.await(
                "requests come back",
                () -> {
                    PlatformCaller.Answer answer = caller.stream("/chat/x", KEY, "s");
                    return runs(answer.requestId()) == 1
                            && mFleet.replica("pool-sag-1").runsOf(answer.requestId()) == 0;
                });
    }

    @Test
    public void oddEntriesDoNoHarm() {
        mFleet.store().put("servers/odd-1", "not json");
        mFleet.store().put("servers/odd-2", "{\"service\":7}");
        mFleet.store().put("op/evacuate/nowhere", "{}");
        mFleet.startReplica("pool-mtl-3", PlatformFleet.POOL, "mtl", 64);

        assertWholeStream(mFleet.caller("mtl-1").stream("/chat/x", KEY, "s"));
    }

    @Test
    public void anAccountGetsItsRateOverAllInstancesTogether() {
        mFleet.setRatePerSecond(2_000);
        mFleet.configure(true);
        PlatformCaller first = mFleet.caller("mtl-1");
        PlatformCaller second = mFleet.caller("sag-1");
        PlatformFleet.await("the limit is in force", () -> burst(first, second, 20).contains(429));
        int before = poolRuns();
        long startedNs = System.nanoTime();
        burst(first, second, 40);
        double seconds = (System.nanoTime() - startedNs) / 1e9;

        double allowed = (2_000 * seconds + 2_000) / 680;
        assertTrue(poolRuns() - before <= allowed, poolRuns() - before + " of " + allowed);
        assertTrue(poolRuns() - before >= 1);
    }

    /** Sends streams at the same moment and returns their statuses. */
    private static Set<Integer> burst(PlatformCaller first, PlatformCaller second, int calls) {
        List<CompletableFuture<Integer>> running = new ArrayList<>();
        ExecutorService threads = Executors.newFixedThreadPool(calls);
        for (int i = 0; i < calls; i++) {
            PlatformCaller caller = i % 2 == 0 ? first : second;
            running.add(
                    CompletableFuture.supplyAsync(
                            () -> caller.stream("/chat/x", KEY, "s").status(), threads));
        }
        Set<Integer> statuses = new HashSet<>();
        running.forEach(call -> statuses.add(call.join()));
        threads.shutdown();
        return statuses;
    }

    private int poolRuns() {
        return mFleet.replicas().stream().mapToInt(replica -> replica.runs().size()).sum();
    }

    @Test
    public void theDirectoryNamesRunningInstancesOfTheCallersRegion() {
        String callers = mFleet.settings("mtl-1").callers().toString();
        PlatformCaller directory = mFleet.directory("sag-1");

        String body = directory.get("/resolve?name=x&region=mtl&zone=mtl-a").body();

        assertTrue(body.contains(callers), body);
        assertFalse(body.contains(mFleet.settings("sag-1").callers().toString()), body);
    }

    @Test
    public void aStoppingInstanceLeavesTheDirectoryAndEndsItsRequests() {
        PlatformCaller caller = mFleet.caller("sag-1");
        List<CompletableFuture<PlatformCaller.Answer>> running = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            int subject = i;
            running.add(
                    CompletableFuture.supplyAsync(
                            () -> caller.stream("/digest/x", KEY, "s" + subject)));
        }
        PlatformFleet.await("requests run", () -> poolRuns() > 0);

        CompletableFuture<Void> stopped = mFleet.stopGateway("sag-1");

        running.forEach(each -> assertWholeStream(each.join()));
        String callers = mFleet.settings("sag-1").callers().toString();
        PlatformCaller directory = mFleet.directory("mtl-1");
        PlatformFleet.await(
                "the directory no longer names it",
                () ->
                        !directory
                                .get("/resolve?name=x&region=sag&zone=sag-a")
                                .body()
                                .contains(callers));
        stopped.join();
    }

    @Test
    public void aStoppingInstanceServesCallersThatHaveNotHeardOfIt() {
        PlatformCaller caller = mFleet.caller("sag-1");
        PlatformCaller readiness = mFleet.readiness("sag-1");

        CompletableFuture<Void> stopped = mFleet.stopGateway("sag-1");
        PlatformFleet.await("it is not ready", () -> readiness.get("/readyz").status() != 200);

        assertEquals(caller.plain("GET", "/stock/x", KEY).status(), 200);
        stopped.join();
    }

    @Test
    public void aStoppingInstanceAnswersRequestsWhoseRouteItLooksUp() {
        // Without the store each answer takes a while, so one is due when the instance would end.
        mFleet.store().setMode(Mode.SILENT);
        PlatformCaller caller = mFleet.caller("sag-1");
        CompletableFuture<Void> stopped = mFleet.stopGateway("sag-1");

        PlatformCaller.Answer answer = caller.plain("GET", "/nowhere/x", KEY);
        while (answer.status() == 503 && !answer.body().contains("stopping")) {
            answer = caller.plain("GET", "/nowhere/x", KEY);
        }

        assertEquals(answer.status(), 503, answer.body());
        stopped.join();
    }

    /** Lists instances and paths of streams that no event of has been sent. */
    @DataProvider
    public Object[][] unheardStreams() {
        return new Object[][] {{"mtl-1", "/chat/"}, {"mtl-1", "/label/"}, {"sag-1", "/label/"}};
    }

    @Test(dataProvider = "unheardStreams")
    public void aCallerThatLeavesEndsItsRun(String gateway, String path) {
        mFleet.replicas().forEach(replica -> replica.setFault(Fault.HANG));
        String request =
                "POST "
                        + path
                        + "x HTTP/1.1\r\nHost: "
                        + PlatformFleet.HOST
                        + "\r\n"
                        + "Filbertrudder-Attempt-Id: leaving\r\n"
                        + "Content-Length: 0\r\n"
                        + "Filbertrudder-Token-Usage: 600,80\r\n"
                        + "Authorization: Bearer key-club\r\n\r\n";

        RawCall.sendAndDisconnect(
                mFleet.settings(gateway).callers(),
                request,
                () -> PlatformFleet.await("it runs", () -> running() == 1));

        long leftNs = System.nanoTime();
        PlatformFleet.await("the run has ended", () -> running() == 0);
        assertTrue(System.nanoTime() - leftNs < 500_000_000L, "The run went on for too long.");
    }

    private int running() {
        return mFleet.replicas().stream().mapToInt(ReplicaStandIn::running).sum();
    }

    /** Lists heads that are ambiguous or that no framing is known for, and their status. */
    @DataProvider
    public Object[][] oddHeads() {
        return new Object[][] {
            {"Authorization: Bearer key-club\r\nAuthorization: Bearer key-other\r\n", 400},
            {"Authorization: Bearer key-club\r\nHost: other.example\r\n", 400},
            {"Authorization: Bearer key-club\r\nTransfer-Encoding: xchunked\r\n", 501},
            {"Authorization: Bearer key-club\r\nX-Long: " + "x".repeat(20_000) + "\r\n", 431},
            {"Authorization: Bearer key-club\r\nContent-Length: 70000\r\n", 413},
        };
    }

    @Test(dataProvider = "oddHeads")
    public void ambiguousRequestsAreRefusedWithARemedy(String lines, int status) {
        String answer =
                RawCall.send(
                        mFleet.settings("mtl-1").callers(),
                        "GET /stock/x HTTP/1.1\r\nHost: "
                                + PlatformFleet.HOST
                                + "\r\nFilbertrudder-Attempt-Id: raw\r\n"
                                + lines
                                + "\r\n");

        assertTrue(answer.startsWith("HTTP/1.1 " + status + " "), answer);
        assertTrue(answer.contains("\"message\""), answer);
        assertEquals(runs("raw"), 0);
    }

    @Test
    public void theDumpAndTheMetricsTellTheState() {
        mFleet.caller("mtl-1").plain("GET", "/stock/x", KEY);
        PlatformCaller side =
                new PlatformCaller(
                        new org.filbertrudder.policy.membership.PeerAddress(
                                "127.0.0.1", mFleet.settings("mtl-1").metricsPort()));

        assertTrue(side.get("/metrics").body().contains("filbertrudder_requests_answered 1"));
        assertTrue(side.get("/dump").body().contains("\"desk-mtl-1\""));
    }

    @Test
    public void keysAreNamedPerAccount() {
        Map<String, String> keys = new HashMap<>(mFleet.keys());
        keys.remove("key-home");
        keys.forEach(
                (key, account) -> {
                    PlatformCaller.Answer answer =
                            mFleet.caller("mtl-1").plain("POST", "/book/x", key);
                    boolean named =
                            mFleet.replica("desk-mtl-1").runs().stream()
                                    .filter(run -> run.requestId().equals(answer.requestId()))
                                    .allMatch(run -> run.account().equals(account));
                    assertTrue(named && answer.status() == 200);
                });
    }
}
