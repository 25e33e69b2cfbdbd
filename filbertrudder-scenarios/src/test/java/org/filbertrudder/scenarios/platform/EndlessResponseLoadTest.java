package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.filbertrudder.standins.platform.EndlessResponseReplicaStandIn;
import org.filbertrudder.standins.platform.EndlessResponseReplicaStandIn.Shape;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that many endless responses at once, here or in another region, leave the requests of
 * others alone.
 */
public class EndlessResponseLoadTest {

    private static final String API_KEY = "key-club";
    private static final int REPLICAS = 4;
    private static final int REQUESTS = 40;

    /** What the limits on a response and the socket buffers on both sides hold. */
    private static final long MAX_BYTES_PER_REQUEST = 16L * 1024 * 1024;

    private final ExecutorService mCallers = Executors.newFixedThreadPool(REQUESTS);
    private PlatformFleet mFleet;

    @BeforeMethod
    public void startFleet() {
        mFleet = new PlatformFleet("mtl", "sag");
        mFleet.writeConfiguration(true);
        mFleet.startReplica("desk-1", PlatformFleet.BOOKING_SERVICE, "mtl", 16);
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() {
        mFleet.close();
    }

    /** Lists the shapes, each with the region of the replicas. */
    @DataProvider
    public Object[][] endlessResponses() {
        List<Object[]> cases = new ArrayList<>();
        for (Shape shape : Shape.values()) {
            for (String region : List.of("mtl", "sag")) {
                cases.add(new Object[] {shape, region});
            }
        }
        return cases.toArray(Object[][]::new);
    }

    /** Guards against the loss of other requests on an instance that runs out of memory. */
    @Test(dataProvider = "endlessResponses")
    public void endlessResponsesOfManyReplicasEndTheRequestsOfOthers(Shape shape, String region) {
        List<EndlessResponseReplicaStandIn> replicas = new ArrayList<>();
        for (int i = 0; i < REPLICAS; i++) {
            replicas.add(
                    mFleet.startEndlessReplica(
                            "endless-" + i, PlatformFleet.MODEL_SERVICE, region, shape));
        }
        mFleet.startGateway("sag-1", "sag");
        mFleet.startGateway("mtl-1", "mtl");
        List<CompletableFuture<PlatformClient.Response>> streams = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String subject = "s" + i;
            streams.add(
                    CompletableFuture.supplyAsync(
                            () ->
                                    mFleet.callerClient("mtl-1")
                                            .sendStream("/digest/x", API_KEY, subject),
                            mCallers));
        }

        int lookups = 0;
        while (streams.stream().anyMatch(stream -> !stream.isDone())) {
            PlatformClient.Response lookup =
                    mFleet.callerClient("mtl-1").sendPlain("GET", "/stock/x", API_KEY);
            assertEquals(lookup.status(), 200, lookup.toString());
            lookups++;
        }

        streams.forEach(stream -> assertTrue(isHonest(shape, stream.join()), stream.join() + ""));
        assertTrue(lookups > 0);
        PlatformFleet.await(
                "the connections are closed",
                () -> replicas.stream().allMatch(replica -> replica.openResponses() == 0));
        long received = replicas.stream().mapToLong(each -> each.receivedRequests()).sum();
        long sentBytes = replicas.stream().mapToLong(each -> each.sentBytes()).sum();
        assertTrue(received > 0, "the replicas received no request");
        assertTrue(sentBytes < MAX_BYTES_PER_REQUEST * received, "bytes sent: " + sentBytes);
    }

    /** Returns whether the response does not claim that the replica has answered. */
    private static boolean isHonest(Shape shape, PlatformClient.Response response) {
        boolean isWholeResponse = shape == Shape.BYTES_AFTER_RESPONSE;
        return isWholeResponse || response.status() != 200;
    }
}
