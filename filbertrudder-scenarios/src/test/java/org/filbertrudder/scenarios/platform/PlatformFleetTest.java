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
import org.filbertrudder.policy.membership.PeerAddress;
import org.filbertrudder.standins.platform.KvStoreStandIn.Mode;
import org.filbertrudder.standins.platform.ReplicaStandIn;
import org.filbertrudder.standins.platform.ReplicaStandIn.Fault;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the requirements of the platform with gateway instances and stand-ins for its services. */
public class PlatformFleetTest {

    private static final String API_KEY = "key-club";
    private static final int EVENTS_PER_STREAM = 8;

    private PlatformFleet mFleet;

    @BeforeMethod
    public void startFleet() {
        mFleet = new PlatformFleet("mtl", "sag");
        mFleet.writeConfiguration(true);
        mFleet.startReplica("pool-mtl-1", PlatformFleet.MODEL_SERVICE, "mtl", 64);
        mFleet.startReplica("pool-mtl-2", PlatformFleet.MODEL_SERVICE, "mtl", 64);
        mFleet.startReplica("pool-sag-1", PlatformFleet.MODEL_SERVICE, "sag", 64);
        mFleet.startReplica("desk-mtl-1", PlatformFleet.BOOKING_SERVICE, "mtl", 16);
        mFleet.startGateway("mtl-1", "mtl");
        mFleet.startGateway("sag-1", "sag");
        awaitOtherInstancesListed("mtl-1", 1);
        awaitOtherInstancesListed("sag-1", 1);
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() {
        mFleet.close();
    }

    /**
     * Waits until the directory of an instance lists the others, so that regions reach each other.
     */
    private void awaitOtherInstancesListed(String gateway, int otherInstanceCount) {
        PlatformClient client = mFleet.directoryClient(gateway);
        PlatformFleet.await(
                gateway + " lists the other instances",
                () ->
                        PlatformFleet.listedInstances(client, List.of("mtl", "sag")).size()
                                == otherInstanceCount + 1);
    }

    private static void assertCompleteStream(PlatformClient.Response response) {
        StringBuilder expected = new StringBuilder();
        for (int id = 1; id <= EVENTS_PER_STREAM; id++) {
            expected.append("id: ").append(id).append("\ndata: piece ").append(id).append("\n\n");
        }
        assertEquals(response.status(), 200);
        assertEquals(response.body(), expected.toString());
    }

    private int executionCount(String requestId) {
        return mFleet.replicas().stream()
                .mapToInt(replica -> replica.executionCount(requestId))
                .sum();
    }

    /** Lists paths and whether they are answered with a stream. */
    @DataProvider
    public Object[][] pathsAndStreamFlags() {
        return new Object[][] {{"/chat/x", true}, {"/digest/x", true}, {"/stock/x", false}};
    }

    @Test(dataProvider = "pathsAndStreamFlags")
    public void servesInBothRegionsWithoutForwardingTheKey(String path, boolean stream) {
        for (String gateway : List.of("mtl-1", "sag-1")) {
            PlatformClient client = mFleet.callerClient(gateway);
            PlatformClient.Response response =
                    stream
                            ? client.sendStream(path, API_KEY, "s")
                            : client.sendPlain("GET", path, API_KEY);

            assertEquals(response.status(), 200, response.body());
            assertTrue(response.serverStamp().isPresent());
        }
        for (ReplicaStandIn replica : mFleet.replicas()) {
            for (ReplicaStandIn.ExecutedRequest execution : replica.executedRequests()) {
                assertNull(execution.authorization());
                assertEquals(execution.account(), "club");
                assertEquals(execution.uri(), path);
            }
        }
    }

    /** Lists instances in the home region of an account and in another one. */
    @DataProvider
    public Object[][] instances() {
        return new Object[][] {{"sag-1"}, {"mtl-1"}};
    }

    @Test(dataProvider = "instances")
    public void streamResumedByItsCallerIsLostWhenAnotherRegionServesIt(String gateway) {
        PlatformClient.Response response =
                mFleet.callerClient(gateway).resumeStream("/digest/x", "key-home", 6);

        assertEquals(response.status(), 200, response.body());
        assertEquals(response.body(), "id: 7\ndata: piece 7\n\nid: 8\ndata: piece 8\n\n");
    }

    /** Lists paths and API keys, and the expected status. */
    @DataProvider
    public Object[][] pathsKeysAndStatuses() {
        return new Object[][] {
            {"/stock/x", "no-such-key", 401},
            {"/stock/x", null, 401},
            {"/nowhere/x", API_KEY, 404},
            {"/open/x", null, 200},
        };
    }

    @Test(dataProvider = "pathsKeysAndStatuses")
    public void appliesTheRoutesAndKeysOfTheConfiguration(String path, String key, int status) {
        assertEquals(mFleet.callerClient("mtl-1").sendPlain("GET", path, key).status(), status);
    }

    /** Lists faults of a replica, the expected status of a booking and its expected executions. */
    @DataProvider
    public Object[][] bookingFaults() {
        return new Object[][] {
            {Fault.CLOSE_CONNECTION, 502, 1},
            {Fault.ERROR, 500, 1},
            {Fault.REJECT, 503, 0},
            {Fault.NO_RESPONSE, 504, 1},
            {Fault.NO_SERVER_STAMP, 502, 1},
        };
    }

    @Test(dataProvider = "bookingFaults")
    public void executesABookingAtMostOnceAndReportsItsFailure(
            Fault fault, int expectedStatus, int expectedExecutions) {
        mFleet.replica("desk-mtl-1").setFault(fault);

        PlatformClient.Response response =
                mFleet.callerClient("mtl-1").sendPlain("POST", "/book/x", API_KEY);

        assertEquals(response.status(), expectedStatus, response.body());
        assertEquals(executionCount(response.requestId()), expectedExecutions);
    }

    @Test
    public void retriesASafeRequestAfterAnError() {
        mFleet.startReplica("desk-mtl-2", PlatformFleet.BOOKING_SERVICE, "mtl", 16);
        awaitExecutionsAt("desk-mtl-2", "/stock/warm");
        mFleet.replica("desk-mtl-1").setFault(Fault.ERROR);

        for (int i = 0; i < 8; i++) {
            assertEquals(
                    mFleet.callerClient("mtl-1").sendPlain("GET", "/stock/x", API_KEY).status(),
                    200);
        }
    }

    private void awaitExecutionsAt(String replica, String path) {
        PlatformFleet.await(
                replica + " receives requests",
                () -> {
                    mFleet.callerClient("mtl-1").sendPlain("GET", path, API_KEY);
                    return !mFleet.replica(replica).executedRequests().isEmpty();
                });
    }

    @Test
    public void resumesABrokenStreamOnAnotherReplicaWithoutAGap() {
        PlatformClient.Response firstResponse =
                mFleet.callerClient("mtl-1").sendStream("/digest/x", API_KEY, "subject");
        String servingReplica =
                mFleet.replica("pool-mtl-1").executionCount(firstResponse.requestId()) > 0
                        ? "pool-mtl-1"
                        : "pool-mtl-2";
        mFleet.replica(servingReplica).setFault(Fault.CLOSE_CONNECTION);

        PlatformClient.Response response =
                mFleet.callerClient("mtl-1").sendStream("/digest/x", API_KEY, "subject");

        assertCompleteStream(response);
        assertEquals(executionCount(response.requestId()), 2);
    }

    /** Lists the faults by which an engine stops responding. */
    @DataProvider
    public Object[][] unresponsiveFaults() {
        return new Object[][] {{Fault.STALL}, {Fault.NO_RESPONSE}};
    }

    @Test(dataProvider = "unresponsiveFaults")
    public void resumesAStreamOnAnotherReplicaWhenAnEngineStopsResponding(Fault fault) {
        PlatformClient.Response firstResponse =
                mFleet.callerClient("mtl-1").sendStream("/digest/x", API_KEY, "subject");
        mFleet.replicas().stream()
                .filter(replica -> replica.executionCount(firstResponse.requestId()) > 0)
                .forEach(replica -> replica.setFault(fault));

        PlatformClient.Response response =
                mFleet.callerClient("mtl-1").sendStream("/digest/x", API_KEY, "subject");

        assertCompleteStream(response);
        assertEquals(executionCount(response.requestId()), 2);
    }

    @Test
    public void abortsABrokenStreamThatMustNotBeResumed() {
        mFleet.replicas().forEach(replica -> replica.setFault(Fault.CLOSE_CONNECTION));

        PlatformClient.Response response =
                mFleet.callerClient("mtl-1").sendStream("/chat/x", API_KEY, "s");

        assertEquals(response.status(), 0);
        assertEquals(executionCount(response.requestId()), 1);
    }

    @Test
    public void executesRequestsOnlyInTheirHomeRegions() {
        for (int i = 0; i < 10; i++) {
            assertCompleteStream(
                    mFleet.callerClient("sag-1").sendStream("/label/x", API_KEY, "s" + i));
        }

        assertTrue(mFleet.replica("pool-sag-1").executedRequests().isEmpty());
    }

    @Test
    public void appliesTheHomeRegionsOfBothRouteAndAccount() {
        PlatformClient client = mFleet.callerClient("mtl-1");
        assertCompleteStream(client.sendStream("/chat/x", "key-home", "s"));
        PlatformClient.Response rejected = client.sendStream("/label/x", "key-home", "s");

        assertEquals(mFleet.replica("pool-sag-1").executedRequests().size(), 1);
        assertEquals(rejected.status(), 503);
        assertTrue(
                rejected.retryAfter().isEmpty(),
                "A retry cannot succeed, so Retry-After must be absent.");
        assertEquals(executionCount(rejected.requestId()), 0);
    }

    @Test
    public void rejectsAWithdrawnKeyAtAllInstances() {
        mFleet.accountByApiKey().remove(API_KEY);
        mFleet.writeConfiguration(true);

        for (String gateway : List.of("mtl-1", "sag-1")) {
            PlatformClient client = mFleet.callerClient(gateway);
            PlatformFleet.await(
                    "the key is rejected at " + gateway,
                    () -> client.sendPlain("GET", "/stock/x", API_KEY).status() == 401);
            assertEquals(client.sendPlain("GET", "/stock/x", "key-other").status(), 200);
        }
    }

    @Test
    public void servesAddedRoutesAndRejectsRemovedOnes() {
        PlatformClient client = mFleet.callerClient("mtl-1");
        mFleet.writeConfiguration(false);
        PlatformFleet.await(
                "the removed route is rejected",
                () -> client.sendPlain("POST", "/book/x", API_KEY).status() == 404);

        mFleet.writeConfiguration(true);

        // An unknown route is looked up in a newer configuration before it is rejected.
        assertEquals(client.sendPlain("POST", "/book/x", API_KEY).status(), 200);
    }

    @Test
    public void acceptsKeysForALimitedTimeWhileTheStoreIsUnavailable() {
        PlatformClient client = mFleet.callerClient("mtl-1");
        mFleet.store().setMode(Mode.UNRESPONSIVE);

        assertEquals(client.sendPlain("GET", "/stock/x", API_KEY).status(), 200);
        PlatformFleet.await(
                "keys are no longer accepted",
                () -> client.sendPlain("GET", "/stock/x", API_KEY).status() == 503);
        PlatformClient.Response rejected = client.sendPlain("POST", "/book/x", API_KEY);
        assertEquals(rejected.status(), 503);
        assertTrue(rejected.retryAfter().isPresent());
        assertEquals(executionCount(rejected.requestId()), 0);
        assertEquals(client.sendPlain("GET", "/open/x", null).status(), 200);

        mFleet.store().setMode(Mode.SERVING);
        PlatformFleet.await(
                "keys are accepted again",
                () -> client.sendPlain("GET", "/stock/x", API_KEY).status() == 200);
    }

    @Test
    public void answersUnavailableToUnknownKeysWhileTheStoreIsUnavailable() {
        PlatformClient client = mFleet.callerClient("mtl-1");
        assertEquals(client.sendPlain("GET", "/stock/x", "key-new").status(), 401);
        mFleet.store().setMode(Mode.UNRESPONSIVE);

        PlatformClient.Response rejected = client.sendPlain("GET", "/stock/x", "key-new");

        assertEquals(rejected.status(), 503, rejected.body());
        assertEquals(client.sendPlain("GET", "/nowhere/x", API_KEY).status(), 503);
    }

    @Test
    public void sendsNoNewRequestsToADrainingReplica() {
        mFleet.replica("pool-mtl-1").register("draining", 0);
        mFleet.replica("pool-mtl-2").register("draining", 0);
        PlatformClient client = mFleet.callerClient("mtl-1");
        PlatformFleet.await(
                "requests go to the other region",
                () -> {
                    PlatformClient.Response response = client.sendStream("/digest/x", API_KEY, "s");
                    return mFleet.replica("pool-sag-1").executionCount(response.requestId()) == 1;
                });
    }

    @Test
    public void sendsNoRequestsToAFailureDomainDuringItsEvacuation() {
        PlatformClient client = mFleet.callerClient("mtl-1");
        mFleet.store().put("op/evacuate/mtl-a", "{}");
        PlatformFleet.await(
                "requests are executed outside the failure domain",
                () -> {
                    PlatformClient.Response response = client.sendStream("/chat/x", API_KEY, "s");
                    return mFleet.replica("pool-sag-1").executionCount(response.requestId()) == 1;
                });

        mFleet.store().delete("op/evacuate/mtl-a");

        PlatformFleet.await(
                "requests are executed in the failure domain again",
                () -> {
                    PlatformClient.Response response = client.sendStream("/chat/x", API_KEY, "s");
                    return executionCount(response.requestId()) == 1
                            && mFleet.replica("pool-sag-1").executionCount(response.requestId())
                                    == 0;
                });
    }

    @Test
    public void ignoresInvalidStoreEntries() {
        mFleet.store().put("servers/odd-1", "not json");
        mFleet.store().put("servers/odd-2", "{\"service\":7}");
        mFleet.store().put("op/evacuate/nowhere", "{}");
        mFleet.startReplica("pool-mtl-3", PlatformFleet.MODEL_SERVICE, "mtl", 64);

        assertCompleteStream(mFleet.callerClient("mtl-1").sendStream("/chat/x", API_KEY, "s"));
    }

    @Test
    public void limitsTheRateOfAnAccountAcrossAllInstances() {
        mFleet.setRatePerSecond(2_000);
        mFleet.writeConfiguration(true);
        PlatformClient firstClient = mFleet.callerClient("mtl-1");
        PlatformClient secondClient = mFleet.callerClient("sag-1");
        PlatformFleet.await(
                "the limit is in force",
                () -> sendConcurrentStreams(firstClient, secondClient, 20).contains(429));
        int executionsBefore = totalExecutions();
        long startNs = System.nanoTime();
        sendConcurrentStreams(firstClient, secondClient, 40);
        double seconds = (System.nanoTime() - startNs) / 1e9;

        double allowedExecutions = (2_000 * seconds + 2_000) / 680;
        assertTrue(
                totalExecutions() - executionsBefore <= allowedExecutions,
                totalExecutions()
                        - executionsBefore
                        + " executions, allowed: "
                        + allowedExecutions);
        assertTrue(totalExecutions() - executionsBefore >= 1);
    }

    /** Sends stream requests concurrently and returns the set of their statuses. */
    private static Set<Integer> sendConcurrentStreams(
            PlatformClient firstClient, PlatformClient secondClient, int requestCount) {
        List<CompletableFuture<Integer>> runningStreams = new ArrayList<>();
        ExecutorService executor = Executors.newFixedThreadPool(requestCount);
        for (int i = 0; i < requestCount; i++) {
            PlatformClient client = i % 2 == 0 ? firstClient : secondClient;
            runningStreams.add(
                    CompletableFuture.supplyAsync(
                            () -> client.sendStream("/chat/x", API_KEY, "s").status(), executor));
        }
        Set<Integer> statuses = new HashSet<>();
        runningStreams.forEach(stream -> statuses.add(stream.join()));
        executor.shutdown();
        return statuses;
    }

    private int totalExecutions() {
        return mFleet.replicas().stream()
                .mapToInt(replica -> replica.executedRequests().size())
                .sum();
    }

    @Test
    public void directoryListsRunningInstancesOfTheRegion() {
        String callerAddress = mFleet.settings("mtl-1").callerAddress().toString();
        PlatformClient directory = mFleet.directoryClient("sag-1");

        String body = directory.get("/resolve?name=x&region=mtl&zone=mtl-a").body();

        assertTrue(body.contains(callerAddress), body);
        assertFalse(body.contains(mFleet.settings("sag-1").callerAddress().toString()), body);
    }

    @Test
    public void aStoppingInstanceLeavesTheDirectoryAndCompletesItsRequests() {
        PlatformClient client = mFleet.callerClient("sag-1");
        List<CompletableFuture<PlatformClient.Response>> runningStreams = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            int subject = i;
            runningStreams.add(
                    CompletableFuture.supplyAsync(
                            () -> client.sendStream("/digest/x", API_KEY, "s" + subject)));
        }
        PlatformFleet.await("requests are being executed", () -> totalExecutions() > 0);

        CompletableFuture<Void> stopped = mFleet.stopGateway("sag-1");

        runningStreams.forEach(stream -> assertCompleteStream(stream.join()));
        String callerAddress = mFleet.settings("sag-1").callerAddress().toString();
        PlatformClient directory = mFleet.directoryClient("mtl-1");
        PlatformFleet.await(
                "the directory no longer lists the stopped instance",
                () ->
                        !directory
                                .get("/resolve?name=x&region=sag&zone=sag-a")
                                .body()
                                .contains(callerAddress));
        stopped.join();
    }

    @Test
    public void aStoppingInstanceServesCallersUnawareOfItsShutdown() {
        PlatformClient client = mFleet.callerClient("sag-1");
        PlatformClient readiness = mFleet.readinessClient("sag-1");

        CompletableFuture<Void> stopped = mFleet.stopGateway("sag-1");
        PlatformFleet.await(
                "the instance is not ready", () -> readiness.get("/readyz").status() != 200);

        assertEquals(client.sendPlain("GET", "/stock/x", API_KEY).status(), 200);
        stopped.join();
    }

    @Test
    public void aStoppingInstanceAnswersRequestsWhoseRouteIsBeingLookedUp() {
        // Without the store each response is delayed, so one is pending when the instance would
        // exit.
        mFleet.store().setMode(Mode.UNRESPONSIVE);
        PlatformClient client = mFleet.callerClient("sag-1");
        CompletableFuture<Void> stopped = mFleet.stopGateway("sag-1");

        PlatformClient.Response response = client.sendPlain("GET", "/nowhere/x", API_KEY);
        while (response.status() == 503 && !response.body().contains("stopping")) {
            response = client.sendPlain("GET", "/nowhere/x", API_KEY);
        }

        assertEquals(response.status(), 503, response.body());
        stopped.join();
    }

    /** Lists instances and paths of streams of which no event has been sent yet. */
    @DataProvider
    public Object[][] streamsWithoutEvents() {
        return new Object[][] {{"mtl-1", "/chat/"}, {"mtl-1", "/label/"}, {"sag-1", "/label/"}};
    }

    @Test(dataProvider = "streamsWithoutEvents")
    public void cancelsAStreamWhenItsCallerDisconnects(String gateway, String path) {
        mFleet.replicas().forEach(replica -> replica.setFault(Fault.NO_RESPONSE));
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

        RawTcpClient.sendAndDisconnect(
                mFleet.settings(gateway).callerAddress(),
                request,
                () ->
                        PlatformFleet.await(
                                "the stream is being executed", () -> runningStreams() == 1));

        long disconnectNs = System.nanoTime();
        PlatformFleet.await("the execution has ended", () -> runningStreams() == 0);
        assertTrue(
                System.nanoTime() - disconnectNs < 500_000_000L, "The execution ended too late.");
    }

    private int runningStreams() {
        return mFleet.replicas().stream().mapToInt(ReplicaStandIn::running).sum();
    }

    /** Lists ambiguous headers, unknown codings and exceeded sizes, and the expected status. */
    @DataProvider
    public Object[][] ambiguousOrInvalidHeaders() {
        return new Object[][] {
            {"Authorization: Bearer key-club\r\nAuthorization: Bearer key-other\r\n", 400},
            {"Authorization: Bearer key-club\r\nHost: other.example\r\n", 400},
            {"Authorization: Bearer key-club\r\nTransfer-Encoding: xchunked\r\n", 501},
            {"Authorization: Bearer key-club\r\nX-Long: " + "x".repeat(20_000) + "\r\n", 431},
            {"Authorization: Bearer key-club\r\nContent-Length: 70000\r\n", 413},
        };
    }

    @Test(dataProvider = "ambiguousOrInvalidHeaders")
    public void rejectsAmbiguousRequestsWithAnErrorMessage(String headerLines, int status) {
        String response =
                RawTcpClient.send(
                        mFleet.settings("mtl-1").callerAddress(),
                        "GET /stock/x HTTP/1.1\r\nHost: "
                                + PlatformFleet.HOST
                                + "\r\nFilbertrudder-Attempt-Id: raw\r\n"
                                + headerLines
                                + "\r\n");

        assertTrue(response.startsWith("HTTP/1.1 " + status + " "), response);
        assertTrue(response.contains("\"message\""), response);
        assertEquals(executionCount("raw"), 0);
    }

    @Test
    public void servesTheStateDumpAndTheMetrics() {
        mFleet.callerClient("mtl-1").sendPlain("GET", "/stock/x", API_KEY);
        PlatformClient metricsClient =
                new PlatformClient(
                        new PeerAddress("127.0.0.1", mFleet.settings("mtl-1").metricsPort()));

        assertTrue(
                metricsClient.get("/metrics").body().contains("filbertrudder_requests_answered 1"));
        assertTrue(metricsClient.get("/dump").body().contains("\"desk-mtl-1\""));
    }

    @Test
    public void forwardsTheAccountOfTheApiKey() {
        Map<String, String> keys = new HashMap<>(mFleet.accountByApiKey());
        keys.remove("key-home");
        keys.forEach(
                (key, account) -> {
                    PlatformClient.Response response =
                            mFleet.callerClient("mtl-1").sendPlain("POST", "/book/x", key);
                    boolean accountsMatch =
                            mFleet.replica("desk-mtl-1").executedRequests().stream()
                                    .filter(
                                            execution ->
                                                    execution
                                                            .requestId()
                                                            .equals(response.requestId()))
                                    .allMatch(execution -> execution.account().equals(account));
                    assertTrue(accountsMatch && response.status() == 200);
                });
    }
}
