package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.filbertrudder.standins.platform.ArrivalLog;
import org.filbertrudder.standins.platform.KvStoreStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a prompt part that crashes endpoints does not crash one after the other. */
public class CrashingPartTest {

    private static final String API_KEY = "key-club";
    private static final String BLOCKED_PARTS_KEY = "filbertrudder/blocked-parts/";
    private static final List<String> GATEWAYS = List.of("mtl-1", "mtl-2", "mtl-3");
    private static final int REPLICAS = 4;
    private static final long SOUND_INTERVAL_MS = 60;
    private static final long CRASHING_INTERVAL_MS = 400;

    /** The time with sound requests only, in milliseconds. */
    private static final long QUIET_MS = 1_500;

    /** The time in which requests with the part come. */
    private static final long CRASHING_MS = 3 * CrashingPartChecker.CONTACT_MS;

    private final AtomicInteger mNextId = new AtomicInteger();
    private PlatformFleet mFleet;
    private CrashingPartChecker mChecker;

    @BeforeMethod
    public void startFleet() {
        mFleet = new PlatformFleet("mtl");
        mFleet.writeConfiguration(true);
        for (int i = 1; i <= REPLICAS; i++) {
            mFleet.startReplica("pool-" + i, PlatformFleet.MODEL_SERVICE, "mtl", 64);
        }
        GATEWAYS.forEach(gateway -> mFleet.startGateway(gateway, "mtl"));
        mChecker =
                new CrashingPartChecker(
                        mFleet.replicas(), id -> id.contains("/bad"), (instance, atMs) -> false);
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() {
        mFleet.close();
    }

    /** Lists prompts without their last part: the one that crashes and the sound ones beside it. */
    @DataProvider
    public Object[][] prompts() {
        return new Object[][] {
            {"book:300,deadly", "book:300,chapter%d"},
            {"deadly:300,chapter%d", "book:300,chapter%d"},
        };
    }

    @Test(dataProvider = "prompts")
    public void requestsWithOnePartCrashOneEndpointAfterTheOther(String crashing, String sound) {
        mFleet.replicas().forEach(replica -> replica.setCrashingParts(Set.of("deadly")));
        long startMs = ArrivalLog.nowMs();
        long crashingMs = startMs + QUIET_MS;
        long endMs = crashingMs + CRASHING_MS;
        List<CompletableFuture<Void>> callers = new ArrayList<>();
        for (String gateway : GATEWAYS) {
            callers.add(
                    CompletableFuture.runAsync(() -> sendSound(gateway, sound, startMs, endMs)));
            callers.add(
                    CompletableFuture.runAsync(
                            () -> sendCrashing(gateway, crashing, crashingMs, endMs)));
        }
        callers.forEach(CompletableFuture::join);

        assertFalse(mChecker.crashTimesMs().isEmpty(), "nothing crashed");
        List<String> violations = mChecker.violations(crashingMs, endMs);
        assertTrue(violations.isEmpty(), violations.toString());
    }

    @Test
    public void allInstancesForgetABlockedPartWhenTheyRestart() {
        mFleet.replicas().forEach(replica -> replica.setCrashingParts(Set.of("deadly")));
        sendCrashingUntilRefused("mtl-1");
        PlatformFleet.await(
                "the part is in the store",
                () -> !mFleet.store().keys(BLOCKED_PARTS_KEY).isEmpty());
        int crashes = mChecker.crashTimesMs().size();
        List<CompletableFuture<Void>> stopped = GATEWAYS.stream().map(mFleet::stopGateway).toList();
        stopped.forEach(CompletableFuture::join);

        mFleet.startGateway("mtl-4", "mtl");
        PlatformClient.Response refused =
                mFleet.callerClient("mtl-4")
                        .sendStream("mtl-4/bad", "/digest/x", API_KEY, "book:300,deadly");

        assertEquals(refused.status(), 422, refused.body());
        assertTrue(refused.retryAfter().isEmpty(), "a final refusal has no time to come back");
        assertEquals(mChecker.crashTimesMs().size(), crashes);
    }

    @Test
    public void blockedPartIsLostWhenTheStoreReturnsFromACopy() {
        mFleet.replicas().forEach(replica -> replica.setCrashingParts(Set.of("deadly")));
        KvStoreStandIn.Copy copy = mFleet.store().copy();
        sendCrashingUntilRefused("mtl-1");
        awaitStoredParts(1);

        mFleet.store().restore(copy);
        mFleet.store().writeAgain();

        awaitStoredParts(1);
    }

    @Test
    public void allowedPartIsBlockedAgainWhenTheStoreReturnsFromACopy() {
        mFleet.replicas().forEach(replica -> replica.setCrashingParts(Set.of("deadly")));
        sendCrashingUntilRefused("mtl-1");
        awaitStoredParts(1);
        mFleet.replicas().forEach(replica -> replica.setCrashingParts(Set.of()));
        KvStoreStandIn.Copy copy = mFleet.store().copy();
        mFleet.allowPart("mtl-3", "deadly");
        awaitStoredParts(0);

        mFleet.store().restore(copy);
        mFleet.store().writeAgain();

        awaitStoredParts(0);
    }

    private void awaitStoredParts(int count) {
        PlatformFleet.await(
                count + " parts are in the store",
                () -> mFleet.store().keys(BLOCKED_PARTS_KEY).size() == count);
    }

    @Test
    public void anOperatorSeesABlockedPartAndAllowsItAtAllInstances() {
        mFleet.replicas().forEach(replica -> replica.setCrashingParts(Set.of("deadly")));
        sendCrashingUntilRefused("mtl-1");
        mFleet.replicas().forEach(replica -> replica.setCrashingParts(Set.of()));

        assertTrue(mFleet.blockedParts("mtl-2").contains("deadly"));
        assertEquals(mFleet.allowPart("mtl-3", "made-up"), 404);
        assertEquals(mFleet.allowPart("mtl-3", "deadly"), 204);

        for (String gateway : GATEWAYS) {
            PlatformFleet.await(
                    gateway + " serves the part again",
                    () ->
                            mFleet.callerClient(gateway)
                                            .sendStream("/digest/x", API_KEY, "book:300,deadly")
                                            .status()
                                    == 200);
        }
        PlatformFleet.await(
                "the part is not in the store",
                () -> mFleet.store().keys(BLOCKED_PARTS_KEY).isEmpty());
    }

    /** Sends requests with the part and others beside them until all instances refuse the part. */
    private void sendCrashingUntilRefused(String gateway) {
        for (String each : GATEWAYS) {
            mFleet.callerClient(each).sendStream("/digest/x", API_KEY, "book:300,chapter");
        }
        PlatformFleet.await(
                "all instances refuse the part",
                () -> {
                    String id = gateway + "/bad" + mNextId.incrementAndGet();
                    PlatformClient client = mFleet.callerClient(gateway);
                    client.sendStream("/digest/x", API_KEY, "book:300,chapter");
                    client.sendStream(id, "/digest/x", API_KEY, "book:300,deadly");
                    return GATEWAYS.stream()
                            .allMatch(each -> mFleet.blockedParts(each).contains("deadly"));
                });
    }

    private void sendSound(String gateway, String prompt, long fromMs, long endMs) {
        PlatformClient client = mFleet.callerClient(gateway);
        for (long nextMs = fromMs; nextMs < endMs; nextMs = next(nextMs, SOUND_INTERVAL_MS)) {
            ArrivalLog.sleepUntil(nextMs);
            String id = gateway + "/sound" + mNextId.incrementAndGet();
            long sentMs = ArrivalLog.nowMs();
            PlatformClient.Response response =
                    client.sendStream(id, "/digest/x", API_KEY, part(prompt));
            mChecker.recordSound(gateway, sentMs, response.status() == 200);
        }
    }

    private void sendCrashing(String gateway, String prompt, long fromMs, long endMs) {
        PlatformClient client = mFleet.callerClient(gateway);
        for (long nextMs = fromMs; nextMs < endMs; nextMs = next(nextMs, CRASHING_INTERVAL_MS)) {
            ArrivalLog.sleepUntil(nextMs);
            String id = gateway + "/bad" + mNextId.incrementAndGet();
            client.sendStream(id, "/digest/x", API_KEY, part(prompt));
        }
    }

    /** Returns when to send the next request; one that took longer than the interval delays it. */
    private static long next(long lastMs, long intervalMs) {
        return Math.max(lastMs + intervalMs, ArrivalLog.nowMs());
    }

    private String part(String prompt) {
        return prompt.formatted(mNextId.get() % 20);
    }
}
