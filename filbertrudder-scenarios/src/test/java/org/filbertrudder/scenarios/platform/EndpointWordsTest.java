package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.filbertrudder.standins.platform.EndlessReplicaStandIn;
import org.filbertrudder.standins.platform.EndlessReplicaStandIn.Shape;
import org.filbertrudder.standins.platform.ReplicaStandIn;
import org.filbertrudder.standins.platform.ReplicaStandIn.Fault;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that instances keep to what replicas say of themselves, and survive what is no answer. */
public class EndpointWordsTest {

    private static final String KEY = "key-club";

    /** What the sockets on both sides of a connection may hold, beside the bounds, in bytes. */
    private static final long MAX_ENDLESS_BYTES = 16L * 1024 * 1024;

    private static final int REQUESTS = 12;

    private PlatformFleet mFleet;

    @BeforeMethod
    public void startFleet() {
        mFleet = new PlatformFleet("mtl");
        mFleet.configure(true);
        mFleet.startReplica("pool-1", PlatformFleet.POOL, "mtl", 64);
        mFleet.startReplica("pool-2", PlatformFleet.POOL, "mtl", 64);
        mFleet.startReplica("desk-1", PlatformFleet.DESK, "mtl", 16);
        mFleet.startGateway("mtl-1", "mtl");
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() {
        mFleet.close();
    }

    private PlatformCaller.Answer lookup() {
        return mFleet.caller("mtl-1").plain("GET", "/stock/x", KEY);
    }

    /** Starts a replica and waits until it is used. */
    private void startUsed(String replica) {
        mFleet.startReplica(replica, PlatformFleet.DESK, "mtl", 16);
        PlatformFleet.await(
                "entries are read", () -> lookup().status() == 200 && runsAt(replica) > 0);
    }

    private int runsAt(String replica) {
        return mFleet.replica(replica).runs().size();
    }

    @Test
    public void aReplicaThatSaysThatItLeavesGetsNothingMore() {
        startUsed("desk-2");
        mFleet.replica("desk-1").setFault(Fault.LEAVING);
        int runs = runsAt("desk-1");
        PlatformFleet.await(
                "it has said so", () -> lookup().status() == 200 && runsAt("desk-1") > runs);

        for (int i = 0; i < REQUESTS; i++) {
            assertEquals(lookup().status(), 200);
        }

        assertEquals(runsAt("desk-1"), runs + 1);
    }

    @Test
    public void aReplicaThatLeavesStaysAwayWhenItsEntryLapsesAndComesBack() {
        startUsed("desk-2");
        mFleet.replica("desk-1").setFault(Fault.LEAVING);
        int runs = runsAt("desk-1");
        PlatformFleet.await(
                "it has said so", () -> lookup().status() == 200 && runsAt("desk-1") > runs);
        mFleet.store().delete("servers/desk-1");
        startUsed("desk-3");
        mFleet.replica("desk-1").register("ready", 0);
        startUsed("desk-4");

        for (int i = 0; i < REQUESTS; i++) {
            assertEquals(lookup().status(), 200);
        }

        assertEquals(runsAt("desk-1"), runs + 1);
    }

    @Test
    public void aReplicaThatStartsAgainUnderItsIdIsUsedAgain() {
        mFleet.replica("desk-1").setFault(Fault.LEAVING);
        assertEquals(lookup().status(), 200);
        assertEquals(lookup().status(), 503);
        assertEquals(runsAt("desk-1"), 1);

        mFleet.replica("desk-1").setFault(Fault.NONE);
        mFleet.replica("desk-1").register("ready", 0, 2);

        PlatformFleet.await("it is used again", () -> lookup().status() == 200);
    }

    @Test
    public void aReplicaThatWantsAPauseGetsIt() {
        startUsed("desk-2");
        ReplicaStandIn pausing = mFleet.replica("desk-1");
        int runs = runsAt("desk-1");
        pausing.setFault(Fault.PAUSING);
        PlatformFleet.await(
                "it has turned one away",
                () -> lookup().status() == 200 && pausing.turnedAway() == 1);
        long askedNs = System.nanoTime();

        int calls = 0;
        while (secondsSince(askedNs) < ReplicaStandIn.PAUSE_S - 0.3) {
            assertEquals(lookup().status(), 200);
            calls++;
        }

        assertTrue(calls > REQUESTS, "Too few calls to show anything: " + calls);
        assertEquals(pausing.turnedAway(), 1);
        pausing.setFault(Fault.NONE);
        PlatformFleet.await(
                "it is used again", () -> lookup().status() == 200 && runsAt("desk-1") > runs);
    }

    private static double secondsSince(long startNs) {
        return (System.nanoTime() - startNs) / (double) TimeUnit.SECONDS.toNanos(1);
    }

    @Test
    public void whileAllWantAPauseCallersAreToldItsEndAtOnce() {
        mFleet.replica("desk-1").setFault(Fault.PAUSING);
        lookup();

        long startNs = System.nanoTime();
        PlatformCaller.Answer refused = lookup();

        assertEquals(refused.status(), 503);
        assertTrue(secondsSince(startNs) < 0.5, "It was told late.");
        double backInS = Double.parseDouble(refused.retryAfter().orElseThrow());
        assertTrue(backInS > ReplicaStandIn.PAUSE_S - 1, "Too early: " + backInS);
        assertTrue(backInS < ReplicaStandIn.PAUSE_S * 1.3, "Too late: " + backInS);
        assertTrue(refused.body().contains("endpoints_pausing"), refused.body());
    }

    /** Lists shapes of endless bytes; bookings that meet them have an unknown outcome. */
    @DataProvider
    public Object[][] shapes() {
        return List.of(Shape.values()).stream()
                .map(shape -> new Object[] {shape})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "shapes")
    public void endlessBytesAreCutOffAndTheOutcomeIsTold(Shape shape) {
        EndlessReplicaStandIn endless =
                mFleet.startEndlessReplica("endless", PlatformFleet.DESK, "mtl", shape);
        mFleet.replica("desk-1").register("draining", 0);
        PlatformFleet.await(
                "it is asked",
                () -> {
                    mFleet.caller("mtl-1").plain("GET", "/open/x", null);
                    return endless.requests() > 0;
                });

        PlatformCaller.Answer booking = mFleet.caller("mtl-1").plain("POST", "/book/x", KEY);

        // A stream's event in a plain answer is a body like any other.
        boolean whole = shape == Shape.PAST_THE_LENGTH;
        boolean long200 = shape == Shape.EVENT;
        if (whole) {
            assertEquals(booking.status(), 200);
            assertEquals(booking.body(), "ok");
        } else if (long200) {
            assertEquals(booking.status(), 0, "A body without end must not look complete.");
        } else {
            assertTrue(booking.status() == 502 || booking.status() == 504, booking.toString());
        }
        PlatformFleet.await("the connections are closed", () -> endless.open() == 0);
        assertTrue(
                endless.sentBytes() < MAX_ENDLESS_BYTES * endless.requests(),
                shape + " was read on: " + endless.sentBytes());
    }

    @Test
    public void aStreamWhoseEventDoesNotEndGoesOnElsewhere() {
        EndlessReplicaStandIn endless =
                mFleet.startEndlessReplica("endless", PlatformFleet.POOL, "mtl", Shape.EVENT);

        PlatformFleet.await(
                "it is asked",
                () -> {
                    PlatformCaller.Answer answer =
                            mFleet.caller("mtl-1").stream(
                                    "/digest/x", KEY, "s" + System.nanoTime());
                    assertEquals(answer.status(), 200, answer.body());
                    return endless.requests() > 0;
                });

        PlatformFleet.await("the connections are closed", () -> endless.open() == 0);
    }

    @Test
    public void aStreamWhoseSecondEngineFailsIsCutOffAtOnce() {
        PlatformCaller.Answer first = mFleet.caller("mtl-1").stream("/digest/x", KEY, "subject");
        boolean homeIsOne = mFleet.replica("pool-1").runsOf(first.requestId()) > 0;
        mFleet.replica(homeIsOne ? "pool-1" : "pool-2").setFault(Fault.BREAK);
        mFleet.replica(homeIsOne ? "pool-2" : "pool-1").setFault(Fault.ERROR);

        long startNs = System.nanoTime();
        PlatformCaller.Answer answer = mFleet.caller("mtl-1").stream("/digest/x", KEY, "subject");

        assertEquals(answer.status(), 0, "A stream that broke off must not look whole.");
        assertTrue(secondsSince(startNs) < 2, "It was cut late: " + secondsSince(startNs));
    }

    @Test
    public void aStreamThatDripsBytesOfOneEventGoesOnElsewhere() {
        PlatformCaller.Answer first = mFleet.caller("mtl-1").stream("/digest/x", KEY, "subject");
        String home = mFleet.replica("pool-1").runsOf(first.requestId()) > 0 ? "pool-1" : "pool-2";
        mFleet.replica(home).setFault(Fault.DRIP);

        PlatformCaller.Answer answer = mFleet.caller("mtl-1").stream("/digest/x", KEY, "subject");

        assertEquals(answer.status(), 200);
        assertTrue(answer.body().endsWith("id: 8\ndata: piece 8\n\n"), answer.body());
        assertTrue(answer.body().startsWith("id: 1\ndata: piece 1\n\n"), answer.body());
    }
}
