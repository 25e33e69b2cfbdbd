package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.filbertrudder.standins.platform.ArrivalLog;
import org.filbertrudder.standins.platform.ReplicaStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that the instances together observe the request limits that endpoints state. */
public class EndpointLimitTest {

    private static final String API_KEY = "key-club";
    private static final List<String> GATEWAYS = List.of("mtl-1", "mtl-2", "mtl-3");
    private static final double LIMIT_PER_SECOND = 2;

    /** The window and the bounds of the platform's rule LIMIT. */
    private static final long WINDOW_MS = 4_000;

    private static final double ALLOWED_FACTOR = 1.5;
    private static final int ALLOWED_EXTRA = 5;

    /** The time in which each instance has received a response that states the limit. */
    private static final long SETTLING_MS = 1_000;

    private static final long LOAD_MS = 8_000;
    private static final long REQUEST_INTERVAL_MS = 40;

    private PlatformFleet mFleet;

    @BeforeMethod
    public void startFleet() {
        mFleet = new PlatformFleet("mtl");
        mFleet.writeConfiguration(true);
        mFleet.startReplica("pool-1", PlatformFleet.MODEL_SERVICE, "mtl", 64);
        mFleet.startReplica("pool-2", PlatformFleet.MODEL_SERVICE, "mtl", 64);
        mFleet.startReplica("desk-1", PlatformFleet.BOOKING_SERVICE, "mtl", 64);
        mFleet.startReplica("desk-2", PlatformFleet.BOOKING_SERVICE, "mtl", 64);
        GATEWAYS.forEach(gateway -> mFleet.startGateway(gateway, "mtl"));
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() {
        mFleet.close();
    }

    /** Lists paths and a replica of the service behind each. */
    @DataProvider
    public Object[][] pathsAndReplicas() {
        return new Object[][] {{"/digest/x", "pool-1"}, {"/stock/x", "desk-1"}};
    }

    @Test(dataProvider = "pathsAndReplicas")
    public void limitExceededByAllInstancesTogether(String path, String limitedReplica) {
        ReplicaStandIn limited = mFleet.replica(limitedReplica);
        limited.setLimit(Double.toString(LIMIT_PER_SECOND));
        long statedMs = ArrivalLog.nowMs();

        List<Integer> statuses = sendFromAllInstances(path);

        int most = limited.arrivals().maxWithin(WINDOW_MS, statedMs + SETTLING_MS, arrival -> true);
        double allowed = ALLOWED_FACTOR * LIMIT_PER_SECOND * WINDOW_MS / 1_000 + ALLOWED_EXTRA;
        assertTrue(most <= allowed, most + " requests in 4 s; allowed " + allowed);
        assertTrue(
                limited.arrivals().countSince(statedMs + SETTLING_MS) > 0,
                "the replica gets no requests any more");
        assertEquals(
                statuses.stream().filter(status -> status != 200).toList(),
                List.of(),
                "requests failed although another replica has room");
    }

    @Test
    public void refusesAtOnceWithATimeThatIsKeptIfOnlyLimitedReplicasMayServe() {
        mFleet.replica("desk-1").setLimit("0.5");
        mFleet.replica("desk-2").setLimit("0.5");
        PlatformClient client = mFleet.callerClient("mtl-1");
        PlatformClient.Response refused;
        long sentMs;
        do {
            sentMs = ArrivalLog.nowMs();
            refused = client.sendPlain("GET", "/stock/x", API_KEY);
        } while (refused.status() == 200);
        long refusedMs = ArrivalLog.nowMs();
        long retryAfterMs =
                Math.round(1_000 * Double.parseDouble(refused.retryAfter().orElseThrow()));
        ArrivalLog.sleepUntil(refusedMs + retryAfterMs);
        PlatformClient.Response retried = client.sendPlain("GET", "/stock/x", API_KEY);

        assertEquals(refused.status(), 503);
        assertTrue(refused.body().contains("endpoints_limited"), refused.body());
        assertTrue(refusedMs - sentMs < 500, "refused after " + (refusedMs - sentMs) + " ms");
        assertEquals(retried.status(), 200, retried.body());
    }

    /** Sends requests to all instances for some seconds and returns the statuses. */
    private List<Integer> sendFromAllInstances(String path) {
        List<CompletableFuture<List<Integer>>> senders =
                GATEWAYS.stream()
                        .map(gateway -> CompletableFuture.supplyAsync(() -> send(gateway, path)))
                        .toList();
        List<Integer> statuses = new ArrayList<>();
        senders.forEach(sender -> statuses.addAll(sender.join()));
        return statuses;
    }

    private List<Integer> send(String gateway, String path) {
        PlatformClient client = mFleet.callerClient(gateway);
        List<Integer> statuses = new ArrayList<>();
        long endMs = ArrivalLog.nowMs() + LOAD_MS;
        for (long nextMs = ArrivalLog.nowMs(); nextMs < endMs; nextMs += REQUEST_INTERVAL_MS) {
            boolean stream = path.startsWith("/digest");
            statuses.add(
                    (stream
                                    ? client.sendStream(path, API_KEY, "part" + statuses.size())
                                    : client.sendPlain("GET", path, API_KEY))
                            .status());
            ArrivalLog.sleepUntil(nextMs + REQUEST_INTERVAL_MS);
        }
        return statuses;
    }
}
