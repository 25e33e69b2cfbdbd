package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.filbertrudder.standins.platform.ArrivalLog;
import org.filbertrudder.standins.platform.ReplicaStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that no request reaches a region that was its home in an earlier configuration. */
public class OutdatedHomesTest {

    private static final String GATEWAY = "sag-1";
    private static final String FORMER_REPLICA = "desk-sag";
    private static final String NEW_REPLICA = "desk-mtl";
    private static final String ROUTE_WITH_HOMES = "/stock-home/";
    private static final String HOLDING_ROUTE = "/hold-home/";
    private static final String ROUTE_WITHOUT_HOMES = "/open/";
    private static final String ROUTE_WITH_KEYS = "/stock/";
    private static final String ACCOUNT_KEY = "key-home";
    private static final List<String> FORMER_HOMES = List.of("sag");
    private static final List<String> NEW_HOMES = List.of("mtl");

    /** The time within which a change must be in force everywhere, in milliseconds. */
    private static final long IN_FORCE_MS = 5_000;

    /** How long requests are sent after the change must be in force, in milliseconds. */
    private static final long OBSERVED_MS = 1_000;

    private static final long PROBE_INTERVAL_MS = 50;

    /** So long that no request times out while it is held or waits, in milliseconds. */
    private static final long ROUTE_TIMEOUT_MS = 8_000;

    private PlatformFleet mFleet;

    @BeforeMethod
    public void startStoreAndReplicas() {
        mFleet = new PlatformFleet("mtl", "sag");
        mFleet.setRouteTimeoutMs(ROUTE_TIMEOUT_MS);
        writeHomes(FORMER_HOMES, FORMER_HOMES);
        mFleet.startReplica(NEW_REPLICA, PlatformFleet.BOOKING_SERVICE, "mtl", 16);
        mFleet.startReplica(FORMER_REPLICA, PlatformFleet.BOOKING_SERVICE, "sag", 1);
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() {
        mFleet.close();
    }

    private long writeHomes(List<String> routeHomes, List<String> accountHomes) {
        mFleet.setHomesByPublicRoute(
                Map.of(ROUTE_WITH_HOMES, routeHomes, HOLDING_ROUTE, FORMER_HOMES));
        mFleet.setAccountHomes(accountHomes);
        return mFleet.writeConfiguration(true);
    }

    @Test
    public void publicRequestRunsInAFormerHomeWhileTheStateIsOutdated() {
        // Without another instance there is no peer that could confirm the state.
        LinkProxy store = mFleet.startGatewayBehindStoreProxy(GATEWAY, "sag");
        PlatformClient client = mFleet.callerClient(GATEWAY);
        assertServedBy(FORMER_REPLICA, client.sendPlain("GET", ROUTE_WITH_HOMES + "x", null));

        store.cut();
        long version = writeHomes(NEW_HOMES, FORMER_HOMES);
        long changedMs = ArrivalLog.nowMs();
        long inForceMs = changedMs + IN_FORCE_MS;
        while (ArrivalLog.nowMs() < inForceMs + OBSERVED_MS) {
            long sentMs = ArrivalLog.nowMs();
            PlatformClient.Response withHomes = sendWithHomes(client);
            // What reaches a former home is reported by the check of its arrivals.
            if (sentMs >= inForceMs && withHomes.status() != 200) {
                assertEquals(withHomes.status(), 503, withHomes.body());
                assertTrue(withHomes.body().contains("state_outdated"), withHomes.body());
                assertTrue(withHomes.retryAfter().isPresent(), "A retry may succeed.");
                assertEquals(executionCount(withHomes.requestId()), 0);
            }
            PlatformClient.Response withoutHomes =
                    client.sendPlain("GET", ROUTE_WITHOUT_HOMES + "x", null);
            assertEquals(withoutHomes.status(), 200, withoutHomes.body());
            ArrivalLog.sleepUntil(sentMs + PROBE_INTERVAL_MS);
        }
        assertNoneInFormerHome(changedMs);

        store.heal();
        awaitVersion(version);
        PlatformClient.Response refused = sendWithHomes(client);
        assertEquals(refused.status(), 503, refused.body());
        assertEquals(executionCount(refused.requestId()), 0);

        mFleet.startGateway("mtl-1", "mtl");
        PlatformFleet.await(
                "requests run in the new home",
                () -> {
                    PlatformClient.Response response = sendWithHomes(client);
                    return mFleet.replica(NEW_REPLICA).executionCount(response.requestId()) == 1;
                });
        assertNoneInFormerHome(changedMs);
    }

    private static PlatformClient.Response sendWithHomes(PlatformClient client) {
        String id = "homes-" + PlatformClient.newRequestId();
        return client.sendPlain(id, "GET", ROUTE_WITH_HOMES + "x", null);
    }

    /** Checks that no request reached the former home once the change had to be in force. */
    private void assertNoneInFormerHome(long changedMs) {
        List<Long> arrivedMs =
                mFleet.replica(FORMER_REPLICA).arrivals().all().stream()
                        .filter(arrival -> arrival.requestId().startsWith("homes-"))
                        .map(arrival -> arrival.atMs() - changedMs)
                        .filter(sinceChangeMs -> sinceChangeMs >= IN_FORCE_MS)
                        .toList();
        assertTrue(
                arrivedMs.isEmpty(),
                arrivedMs.size()
                        + " requests reached a former home, in ms after the change: "
                        + arrivedMs);
    }

    /** Lists what has homes that change. */
    enum Owner {
        ROUTE,
        ACCOUNT
    }

    /** Lists whose homes change. */
    @DataProvider
    public Object[][] owners() {
        return new Object[][] {{Owner.ROUTE}, {Owner.ACCOUNT}};
    }

    @Test(dataProvider = "owners")
    public void waitingRequestRunsInAFormerHomeAfterAChange(Owner owner) {
        boolean ofRoute = owner == Owner.ROUTE;
        String path = (ofRoute ? ROUTE_WITH_HOMES : ROUTE_WITH_KEYS) + "x";
        String key = ofRoute ? null : ACCOUNT_KEY;
        mFleet.startGateway(GATEWAY, "sag");
        mFleet.startGateway("mtl-1", "mtl");
        awaitOtherInstance();
        ReplicaStandIn formerReplica = mFleet.replica(FORMER_REPLICA);
        formerReplica.setFault(ReplicaStandIn.Fault.NO_RESPONSE);
        PlatformClient client = mFleet.callerClient(GATEWAY);
        String id = PlatformClient.newRequestId();
        CompletableFuture<PlatformClient.Response> waiting = new CompletableFuture<>();

        // The end of the held request frees the only slot.
        RawTcpClient.sendAndDisconnect(
                mFleet.settings(GATEWAY).callerAddress(),
                holdingRequest(),
                () -> {
                    PlatformFleet.await("the slot is held", () -> formerReplica.running() == 1);
                    formerReplica.setFault(ReplicaStandIn.Fault.NONE);
                    waiting.completeAsync(() -> client.sendPlain(id, "GET", path, key));
                    awaitMetric("requests_waiting", 1);
                    assertFalse(arrivedInFormerHome(id), "A request that arrived does not wait.");
                    awaitVersion(
                            writeHomes(
                                    ofRoute ? NEW_HOMES : FORMER_HOMES,
                                    ofRoute ? FORMER_HOMES : NEW_HOMES));
                });

        PlatformClient.Response response = waiting.join();
        assertFalse(
                arrivedInFormerHome(id),
                "The request reached a former home; answered: " + response);
        if (response.status() == 200) {
            assertServedBy(NEW_REPLICA, response);
        } else {
            assertEquals(response.status(), 503, response.body());
            assertEquals(executionCount(id), 0);
        }
    }

    private static String holdingRequest() {
        return "GET "
                + HOLDING_ROUTE
                + "x HTTP/1.1\r\nHost: "
                + PlatformFleet.HOST
                + "\r\nFilbertrudder-Attempt-Id: holding\r\nContent-Length: 0\r\n\r\n";
    }

    private void awaitOtherInstance() {
        PlatformClient directory = mFleet.directoryClient(GATEWAY);
        String address = mFleet.settings("mtl-1").callerAddress().toString();
        PlatformFleet.await(
                GATEWAY + " lists the other instance",
                () -> PlatformFleet.listedInstances(directory, List.of("mtl")).contains(address));
    }

    private void awaitVersion(long version) {
        awaitMetric("configuration_version", version);
        // The control thread collects the dump once it has published the version it is at.
        mFleet.dump(GATEWAY);
    }

    private void awaitMetric(String name, long value) {
        String line = "filbertrudder_" + name + " " + value;
        PlatformFleet.await(
                GATEWAY + " states " + line,
                () -> mFleet.metrics(GATEWAY).lines().anyMatch(line::equals));
    }

    private boolean arrivedInFormerHome(String id) {
        return mFleet.replica(FORMER_REPLICA).arrivals().all().stream()
                .anyMatch(arrival -> arrival.requestId().equals(id));
    }

    private void assertServedBy(String replica, PlatformClient.Response response) {
        assertEquals(response.status(), 200, response.body());
        assertEquals(executionCount(response.requestId()), 1);
        assertEquals(mFleet.replica(replica).executionCount(response.requestId()), 1);
    }

    private int executionCount(String id) {
        return mFleet.replicas().stream().mapToInt(each -> each.executionCount(id)).sum();
    }
}
