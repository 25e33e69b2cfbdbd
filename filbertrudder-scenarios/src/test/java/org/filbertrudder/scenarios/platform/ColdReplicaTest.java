package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.filbertrudder.standins.platform.ArrivalLog;
import org.filbertrudder.standins.platform.KvStoreStandIn;
import org.filbertrudder.standins.platform.ReplicaStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the load of a replica that returns under its id after it refused connections. */
public class ColdReplicaTest {

    private static final String API_KEY = "key-club";
    private static final int CALLERS = 12;
    private static final long SECOND_MS = 1_000;
    private static final long WARMUP_MS = 3_000;

    /** The time from the start of a replica's process to its registration, in milliseconds. */
    private static final long REGISTRATION_DELAY_MS = 400;

    /** The time until a replica registers again after the store has returned, in milliseconds. */
    private static final long LATE_REGISTRATION_DELAY_MS = 1_900;

    /** What the platform allows for a service with two requests per second during the warm-up. */
    private static final int MAX_IN_ONE_SECOND = (int) (2 * 1.5 + 3);

    /** How long the others tell a started instance of restarts, and some time to notice it. */
    private static final long RESTART_REPORTS_MS = 4_000;

    /** The limit that a replica states before it goes away, in requests per second. */
    private static final String LIMIT = "2";

    private static final long IDLE_CONNECTIONS_EXPIRE_MS = 2_500;

    private PlatformFleet mFleet;
    private ReplicaStandIn mReplica;
    private PlatformClient mClient;
    private long mStartedMs;

    @BeforeMethod
    public void startFleet() {
        mFleet = new PlatformFleet("mtl");
        mFleet.writeConfiguration(true);
        mReplica = mFleet.startReplica("pool-mtl-1", PlatformFleet.MODEL_SERVICE, "mtl", 64);
        mFleet.startGateway("mtl-1", "mtl");
        mFleet.startGateway("mtl-2", "mtl");
        mStartedMs = ArrivalLog.nowMs();
        mClient = mFleet.callerClient("mtl-1");
        assertEquals(status(mClient), 200);
    }

    private void refuseConnections() {
        mReplica.refuseConnections();
        assertNotEquals(status(mClient), 200);
        awaitRefusedConnection("mtl-1");
    }

    private void awaitRefusedConnection(String gateway) {
        PlatformFleet.await(
                gateway + " has tried to connect",
                () ->
                        mFleet.metrics(gateway)
                                .contains("filbertrudder_endpoint_connections_refused"));
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() {
        mFleet.close();
    }

    private static int status(PlatformClient client) {
        return client.sendStream("/chat/x", API_KEY, "s").status();
    }

    /** Guards against full load on a cold replica whose new registration has not been read yet. */
    @Test
    public void coldReplicaUnderItsFormerIdIsSentFewRequests() {
        refuseConnections();

        assertFewRequestsAfterReturn(mClient);
    }

    /** Guards against full load from an instance that has sent nothing meanwhile. */
    @Test
    public void instanceThatNoticedNothingSendsAColdReplicaFewRequests() {
        PlatformFleet.await(
                "mtl-2 is not told of restarts any more",
                () -> ArrivalLog.nowMs() - mStartedMs > RESTART_REPORTS_MS);
        PlatformFleet.await("mtl-1 has seen a crash", this::crashDuringAStream);
        awaitRefusedConnection("mtl-2");

        assertFewRequestsAfterReturn(mFleet.callerClient("mtl-2"));
    }

    /**
     * Makes the replica refuse connections while it runs a stream; returns whether this is seen as
     * a crash. The replica closes its connections before it refuses new ones, so an instance that
     * connects at once sees a reset.
     */
    private boolean crashDuringAStream() {
        CompletableFuture<Integer> stream = CompletableFuture.supplyAsync(() -> status(mClient));
        PlatformFleet.await(
                "a stream runs or is refused", () -> mReplica.running() > 0 || stream.isDone());
        mReplica.refuseConnections();
        stream.join();
        if (mFleet.metrics("mtl-1").contains("filbertrudder_endpoint_crashes_seen")) {
            return true;
        }
        mReplica.acceptConnections();
        return false;
    }

    /** Guards against full load from an instance that only loses its idle connections. */
    @Test
    public void instanceWithIdleConnectionsSendsAColdReplicaFewRequests() {
        mReplica.refuseConnections();
        awaitRefusedConnection("mtl-1");

        assertFewRequestsAfterReturn(mClient);
    }

    /** Guards against full load from an instance that starts while the others know of a restart. */
    @Test
    public void instanceThatStartsMeanwhileSendsAColdReplicaFewRequests() {
        refuseConnections();
        mFleet.startGateway("mtl-3", "mtl");

        assertFewRequestsAfterReturn(mFleet.callerClient("mtl-3"));
    }

    /**
     * Guards against full load from instances that had no connection to a replica with a limit, and
     * that learn from the end of the limit only that they may send more.
     */
    @Test
    public void replicaThatReturnsColdWithoutItsFormerLimitIsSentFewRequests() {
        mReplica.setLimit(LIMIT);
        PlatformFleet.await("mtl-1 knows the limit", () -> status(mClient) == 503);
        PlatformFleet.await(
                "mtl-2 knows the limit",
                () -> mFleet.metrics("mtl-2").contains("filbertrudder_limited_endpoints 1"));
        long sentMs = ArrivalLog.nowMs();
        PlatformFleet.await(
                "idle connections have expired",
                () -> ArrivalLog.nowMs() - sentMs > IDLE_CONNECTIONS_EXPIRE_MS);
        mReplica.refuseConnections();
        mReplica.setLimit(null);

        assertFewRequestsAfterReturn(mClient);
        for (String gateway : List.of("mtl-1", "mtl-2")) {
            assertFalse(
                    mFleet.metrics(gateway).contains("filbertrudder_endpoint_connections_refused"));
        }
    }

    /** Guards against full load because of a registration that a copy of the store brought back. */
    @Test
    public void restoredRegistrationDoesNotShowThatAReplicaIsWarm() {
        KvStoreStandIn.Copy copy = mFleet.store().copy();
        mFleet.writeConfiguration(true);
        refuseConnections();
        mFleet.store().restore(copy);

        assertFewRequestsAfterReturn(mClient, LATE_REGISTRATION_DELAY_MS);
    }

    private void assertFewRequestsAfterReturn(PlatformClient client) {
        assertFewRequestsAfterReturn(client, REGISTRATION_DELAY_MS);
    }

    private void assertFewRequestsAfterReturn(PlatformClient client, long registrationDelayMs) {
        mReplica.acceptConnections();
        long backMs = ArrivalLog.nowMs();
        mReplica.registerAt(
                backMs + registrationDelayMs, "ready", WARMUP_MS, System.currentTimeMillis());
        ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
        List<CompletableFuture<Void>> ended = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            ended.add(
                    CompletableFuture.runAsync(
                            () -> sendUntil(client, backMs + WARMUP_MS), callers));
        }
        ended.forEach(CompletableFuture::join);
        callers.shutdown();

        int most =
                mReplica.arrivals()
                        .maxWithin(
                                SECOND_MS, backMs, arrival -> arrival.atMs() < backMs + WARMUP_MS);
        assertTrue(most <= MAX_IN_ONE_SECOND, most + " requests in one second");
    }

    private static void sendUntil(PlatformClient client, long endMs) {
        while (ArrivalLog.nowMs() < endMs) {
            status(client);
        }
    }

    @Test
    public void replicaWithAnUnchangedRegistrationIsSentItsFullLoad() {
        refuseConnections();
        mReplica.acceptConnections();

        PlatformFleet.await(
                "the replica is sent more than the load of a cold one",
                () -> {
                    long fromMs = ArrivalLog.nowMs();
                    for (int i = 0; i <= MAX_IN_ONE_SECOND; i++) {
                        status(mClient);
                    }
                    return mReplica.arrivals().maxWithin(SECOND_MS, fromMs, arrival -> true)
                            > MAX_IN_ONE_SECOND;
                });
    }
}
