package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.filbertrudder.standins.platform.CrashingReplicaStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that instances which are replaced do not send a request again that crashes replicas. */
public class CrashingRequestTest {

    private static final List<String> GATEWAYS = List.of("mtl-1", "mtl-2", "mtl-3");
    private static final int REPLICAS = 4;
    private static final int MAX_CRASHES = 3;
    private static final int STATUS_REFUSED = 422;
    private static final String CRASHING_PATH = CrashingReplicaStandIn.CRASHING_PATH;
    private static final String SOUND_PATH = "/stock/popular";
    private static final long LONG_PROCESSING_TIME_MS = 1_000;

    private final List<CrashingReplicaStandIn> mReplicas = new ArrayList<>();
    private PlatformFleet mFleet;

    @BeforeMethod
    public void startFleet() {
        mFleet = new PlatformFleet("mtl");
        mFleet.writeConfiguration(true);
        for (int port : FreePorts.find(REPLICAS)) {
            mReplicas.add(
                    new CrashingReplicaStandIn(
                                    mFleet.store(),
                                    "desk-" + port,
                                    PlatformFleet.BOOKING_SERVICE,
                                    "mtl-a")
                            .start(port));
        }
        GATEWAYS.forEach(gateway -> mFleet.startGateway(gateway, "mtl"));
        PlatformFleet.await("a lookup is served", () -> send("mtl-1", SOUND_PATH) == 200);
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() throws IOException {
        for (CrashingReplicaStandIn replica : mReplicas) {
            replica.close();
        }
        mReplicas.clear();
        mFleet.close();
    }

    /** Sends a request with one content for each path. */
    private int send(String gateway, String path) {
        return mFleet.callerClient(gateway).sendPlain("same", "POST", path, "key-club").status();
    }

    private int crashes() {
        return mReplicas.stream().mapToInt(CrashingReplicaStandIn::crashes).sum();
    }

    private void awaitRefusedEverywhere() {
        PlatformFleet.await(
                "all instances refuse the request",
                () ->
                        GATEWAYS.stream()
                                .allMatch(each -> send(each, CRASHING_PATH) == STATUS_REFUSED));
    }

    private void assertRefusedEverywhere() {
        int crashes = crashes();
        for (String gateway : GATEWAYS) {
            assertEquals(send(gateway, CRASHING_PATH), STATUS_REFUSED, gateway);
        }
        assertEquals(crashes(), crashes);
    }

    /** Guards against restarted instances that forget a request and send it to more replicas. */
    @Test
    public void instancesThatAreReplacedInTurnForgetTheRequest() {
        awaitRefusedEverywhere();
        assertEquals(crashes(), MAX_CRASHES);

        for (String gateway : GATEWAYS) {
            mFleet.stopGateway(gateway).join();
            mFleet.startGateway(gateway, "mtl");
            assertEquals(send(gateway, CRASHING_PATH), STATUS_REFUSED, gateway);
        }

        assertRefusedEverywhere();
        assertEquals(send("mtl-1", SOUND_PATH), 200);
    }

    /** Guards against a request that is sent again once no instance remembers it. */
    @Test
    public void instancesThatAreReplacedAtOnceForgetTheRequest() {
        awaitRefusedEverywhere();
        PlatformFleet.await(
                "the refusal is stored",
                () -> !mFleet.store().keys("filbertrudder/crash-records").isEmpty());

        List<CompletableFuture<Void>> stops = new ArrayList<>();
        GATEWAYS.forEach(gateway -> stops.add(mFleet.stopGateway(gateway)));
        stops.forEach(CompletableFuture::join);
        GATEWAYS.forEach(gateway -> mFleet.startGateway(gateway, "mtl"));

        assertRefusedEverywhere();
        assertEquals(send("mtl-1", SOUND_PATH), 200);
    }

    /** Guards against an instance that has read the store but looks no request up yet. */
    @Test
    public void instanceThatStartsAloneForgetsTheRequest() {
        awaitRefusedEverywhere();
        PlatformFleet.await(
                "the refusal is stored",
                () -> !mFleet.store().keys("filbertrudder/crash-records").isEmpty());
        int crashes = crashes();

        List<CompletableFuture<Void>> stops = new ArrayList<>();
        GATEWAYS.forEach(gateway -> stops.add(mFleet.stopGateway(gateway)));
        stops.forEach(CompletableFuture::join);
        mFleet.startGateway("mtl-1", "mtl");

        assertEquals(send("mtl-1", CRASHING_PATH), STATUS_REFUSED);
        assertEquals(crashes(), crashes);
    }

    /** Guards against replaced instances that refuse what ran beside the crashing request. */
    @Test
    public void instanceThatIsReplacedRefusesASoundRequest() {
        mReplicas.forEach(replica -> replica.setProcessingTimeMs(LONG_PROCESSING_TIME_MS));
        List<CompletableFuture<Integer>> lookups = new ArrayList<>();
        for (int i = 0; i < 2 * REPLICAS; i++) {
            String gateway = GATEWAYS.get(i % GATEWAYS.size());
            lookups.add(CompletableFuture.supplyAsync(() -> send(gateway, SOUND_PATH)));
        }
        PlatformFleet.await(
                "lookups run everywhere",
                () -> mReplicas.stream().allMatch(replica -> replica.running() > 0));
        assertEquals(send("mtl-1", CRASHING_PATH), 502);
        lookups.forEach(CompletableFuture::join);
        mReplicas.forEach(replica -> replica.setProcessingTimeMs(1));
        awaitRefusedEverywhere();
        for (String gateway : GATEWAYS) {
            PlatformFleet.await("it is answered", () -> send(gateway, SOUND_PATH) == 200);
        }

        for (String gateway : GATEWAYS) {
            mFleet.stopGateway(gateway).join();
            mFleet.startGateway(gateway, "mtl");
        }

        for (String gateway : GATEWAYS) {
            assertEquals(send(gateway, SOUND_PATH), 200, gateway);
        }
        assertTrue(crashes() >= MAX_CRASHES);
    }
}
