package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that callers that send too slowly are told so and closed. */
public class SlowCallerTest {

    private static final long HEADER_TIMEOUT_MS = 3_000;

    /** Covers hold-ups of the test process; the idle limit and the deadlines are longer. */
    private static final long LATEST_CLOSE_MS = 11_000;

    private static final String HALF_HEAD = "GET /stock/x HTTP/1.1\r\nHost: " + PlatformFleet.HOST;

    private PlatformFleet mFleet;

    @BeforeMethod
    public void startFleet() {
        mFleet = new PlatformFleet("mtl");
        mFleet.setHeaderTimeoutMs(HEADER_TIMEOUT_MS);
        mFleet.writeConfiguration(true);
        mFleet.startReplica("desk-mtl-1", PlatformFleet.BOOKING_SERVICE, "mtl", 16);
        mFleet.startGateway("mtl-1", "mtl");
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() {
        mFleet.close();
    }

    private RawCallerConnection connect() {
        return new RawCallerConnection(mFleet.settings("mtl-1").callerAddress());
    }

    private void assertSoundCallerIsServed() {
        assertEquals(
                mFleet.callerClient("mtl-1").sendPlain("GET", "/stock/x", "key-club").status(),
                200);
    }

    private static void assertRefusedAsSlow(String response) {
        assertTrue(response.startsWith("HTTP/1.1 408 "), response);
        assertTrue(response.toLowerCase(Locale.ROOT).contains("connection: close"), response);
        assertTrue(response.contains("\"code\":\"request_too_slow\""), response);
        assertTrue(response.contains("\"not_run\":true"), response);
    }

    private static void assertClosedInTime(long startNs) {
        long takenMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
        assertTrue(takenMs < LATEST_CLOSE_MS, "closed after " + takenMs + " ms");
    }

    /**
     * Lists what slow callers send first, and what they go on sending at intervals; the body has a
     * deadline of a second.
     */
    @DataProvider
    public Object[][] slowRequests() {
        String body =
                RawCallerConnection.head("slow", "POST", "/book/x", 1_000)
                        .replace("Deadline-Ms: 8000", "Deadline-Ms: 1000");
        String longBody = RawCallerConnection.head("slow", "POST", "/book/x", 60_000);
        return new Object[][] {
            {HALF_HEAD, ""}, {HALF_HEAD, "x"}, {body + "half", ""}, {body, "x"}, {longBody, "x"},
        };
    }

    @Test(dataProvider = "slowRequests")
    public void slowRequestIsWaitedFor(String first, String further) throws Exception {
        try (RawCallerConnection caller = connect()) {
            long startNs = System.nanoTime();
            caller.send(first);
            for (int i = 0; i < 4; i++) {
                Thread.sleep(200);
                caller.send(further);
            }
            assertSoundCallerIsServed();

            assertRefusedAsSlow(caller.readToEnd());

            assertClosedInTime(startNs);
            assertSoundCallerIsServed();
        }
        assertEquals(mFleet.replica("desk-mtl-1").executionCount("slow"), 0);
    }

    @Test
    public void connectionWithoutAByteStaysOpen() {
        try (RawCallerConnection caller = connect()) {
            long startNs = System.nanoTime();

            assertEquals(caller.readToEnd(), "");

            assertClosedInTime(startNs);
        }
    }

    @Test
    public void halfHeadOnAKeptConnectionIsWaitedFor() {
        try (RawCallerConnection caller = connect()) {
            caller.send(RawCallerConnection.head("first", "GET", "/stock/x", 0));
            caller.readUntil("stock/x\"}");
            long startNs = System.nanoTime();
            caller.send(HALF_HEAD);

            assertRefusedAsSlow(caller.readToEnd());

            assertClosedInTime(startNs);
        }
    }

    @Test
    public void longerLimitDoesNotHoldForAHeadThatHasBegun() throws Exception {
        try (RawCallerConnection caller = connect()) {
            String request = RawCallerConnection.head("long", "GET", "/stock/x", 0);
            caller.send(request.substring(0, 30));
            mFleet.setHeaderTimeoutMs(30_000);
            mFleet.writeConfiguration(true);
            Thread.sleep(HEADER_TIMEOUT_MS + 1_500);
            caller.send(request.substring(30));

            assertTrue(caller.readUntil("}").startsWith("HTTP/1.1 200"));
        }
    }

    @Test
    public void shorterLimitDoesNotHoldForAHeadThatHasBegun() {
        mFleet.setHeaderTimeoutMs(30_000);
        mFleet.writeConfiguration(false);
        PlatformFleet.await(
                "the longer limit is in force",
                () ->
                        mFleet.callerClient("mtl-1")
                                        .sendPlain("POST", "/book/x", "key-club")
                                        .status()
                                == 404);
        try (RawCallerConnection caller = connect()) {
            caller.send(HALF_HEAD);
            mFleet.setHeaderTimeoutMs(500);
            mFleet.writeConfiguration(true);
            long startNs = System.nanoTime();

            assertRefusedAsSlow(caller.readToEnd());

            assertClosedInTime(startNs);
        }
    }
}
