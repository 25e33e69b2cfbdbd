package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a region's prompts are started by one scheduler and survive its loss. */
public class ScheduledStartTest {

    private static final List<String> GATEWAYS = List.of("mtl-1", "mtl-2", "mtl-3");
    private static final int REQUESTS = 24;

    private final ExecutorService mCallers = Executors.newFixedThreadPool(REQUESTS);
    private PlatformFleet mFleet;

    @BeforeMethod
    public void startFleet() {
        mFleet = new PlatformFleet("mtl");
        mFleet.setLimitsUnreadBytes();
        mFleet.writeConfiguration(true);
        mFleet.startReplica("pool-mtl-1", PlatformFleet.MODEL_SERVICE, "mtl", 64);
        mFleet.startReplica("pool-mtl-2", PlatformFleet.MODEL_SERVICE, "mtl", 64);
        GATEWAYS.forEach(gateway -> mFleet.startGateway(gateway, "mtl"));
        GATEWAYS.forEach(this::awaitAllListed);
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() {
        mCallers.shutdownNow();
        mFleet.close();
    }

    /** Waits until an instance knows all others, as only then all choose the same scheduler. */
    private void awaitAllListed(String gateway) {
        PlatformClient client = mFleet.directoryClient(gateway);
        PlatformFleet.await(
                gateway + " lists all instances",
                () ->
                        PlatformFleet.listedInstances(client, List.of("mtl", "sag")).size()
                                == GATEWAYS.size());
    }

    private List<PlatformClient.Response> sendThrough(List<String> gateways) {
        List<CompletableFuture<PlatformClient.Response>> responses = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            PlatformClient client = mFleet.callerClient(gateways.get(i % gateways.size()));
            responses.add(
                    CompletableFuture.supplyAsync(
                            () -> client.sendStream("/digest/x", "key-club", "s"), mCallers));
        }
        return responses.stream().map(CompletableFuture::join).toList();
    }

    private long decidedAt(String gateway) {
        return mFleet.metrics(gateway)
                .lines()
                .filter(line -> line.startsWith("filbertrudder_starts_decided{"))
                .mapToLong(line -> Long.parseLong(line.substring(line.lastIndexOf(' ') + 1)))
                .sum();
    }

    /** Guards against instances that start prompts on their own although a scheduler is there. */
    @Test
    public void oneInstanceDecidesOnAllStartsAndItsLossIsNoticed() {
        sendThrough(GATEWAYS).forEach(response -> assertEquals(response.status(), 200));
        PlatformFleet.await(
                "one instance has decided on all starts",
                () -> GATEWAYS.stream().mapToLong(this::decidedAt).sum() >= REQUESTS);
        List<String> schedulers =
                GATEWAYS.stream().filter(gateway -> decidedAt(gateway) > 0).toList();
        assertEquals(schedulers.size(), 1);

        mFleet.stopGateway(schedulers.get(0)).join();
        List<String> others =
                GATEWAYS.stream().filter(gateway -> !schedulers.contains(gateway)).toList();
        sendThrough(others).forEach(response -> assertEquals(response.status(), 200));
        PlatformFleet.await(
                "the others have decided on the further starts",
                () -> others.stream().mapToLong(this::decidedAt).sum() >= REQUESTS);
        assertTrue(others.stream().anyMatch(gateway -> decidedAt(gateway) > 0));
    }
}
