package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a request that cannot be allowed is refused before its body is read. */
public class UnadmittedBodyTest {

    private static final String KEY = "key-club";
    private static final int SHORT_BODY_BYTES = 2_000;
    private static final int LONG_BODY_BYTES = 60_000;

    private static final int HOARDERS = 8;

    /** One of so many parts of the heap may hold bodies. */
    private static final int BODY_HEAP_PARTS = 6;

    /** The announced bodies of all hoarders fill the part of the heap that bodies may take. */
    private static final int ANNOUNCED_BYTES =
            (int) (Runtime.getRuntime().maxMemory() / BODY_HEAP_PARTS / HOARDERS);

    private PlatformFleet mFleet;

    @BeforeMethod
    public void startFleet() {
        mFleet = new PlatformFleet("mtl");
        mFleet.setMaxBodyBytes(ANNOUNCED_BYTES);
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

    private static String head(String id, String path, String key, int bodyBytes) {
        return RawCallerConnection.head(id, "POST", path, bodyBytes).replace(KEY, key);
    }

    /** Lists the path and key of requests that cannot be allowed, and how they are refused. */
    @DataProvider
    public Object[][] refusedRequests() {
        return new Object[][] {
            {"/book/x", "no-such-key", "401"},
            {"/nowhere/x", KEY, "404"},
        };
    }

    @Test(dataProvider = "refusedRequests")
    public void refusalComesOnlyAfterTheBody(String path, String key, String status) {
        try (RawCallerConnection caller = connect()) {
            caller.send(head("half", path, key, LONG_BODY_BYTES) + "x".repeat(100));

            String response = caller.readToEnd();

            assertTrue(response.startsWith("HTTP/1.1 " + status), response);
            assertTrue(response.toLowerCase().contains("connection: close"), response);
        }
    }

    @Test(dataProvider = "refusedRequests")
    public void callerThatSendsItsWholeBodyReadsNoRefusal(String path, String key, String status) {
        try (RawCallerConnection caller = connect()) {
            caller.send(head("whole", path, key, LONG_BODY_BYTES));
            for (int sent = 0; sent < LONG_BODY_BYTES; sent += SHORT_BODY_BYTES) {
                caller.send("x".repeat(SHORT_BODY_BYTES));
            }

            String response = caller.readToEnd();

            assertTrue(response.startsWith("HTTP/1.1 " + status), response);
            assertFalse(response.contains("[reset]"), response);
        }
    }

    @Test(dataProvider = "refusedRequests")
    public void refusedRequestWithAShortBodyCostsItsConnection(
            String path, String key, String status) {
        try (RawCallerConnection caller = connect()) {
            caller.send(head("refused", path, key, SHORT_BODY_BYTES) + "x".repeat(2_000));
            assertTrue(caller.readUntil("\"not_run\":true}").contains(" " + status + " "));

            caller.send(head("next", "/book/x", KEY, 1) + "x");

            assertTrue(caller.readUntil("}").startsWith("HTTP/1.1 200"));
        }
    }

    /** The instance learns of the route only when it confirms its state. */
    @Test
    public void bodyBehindALookupIsLost() {
        mFleet.writeConfiguration(false);
        PlatformFleet.await(
                "the route is gone",
                () ->
                        mFleet.callerClient("mtl-1").sendPlain("POST", "/book/x", KEY).status()
                                == 404);
        try (RawCallerConnection caller = connect()) {
            mFleet.writeConfiguration(true);
            caller.send(head("added", "/book/x", KEY, 3) + "x");
            caller.send("yz");

            assertTrue(caller.readUntil("}").startsWith("HTTP/1.1 200"));
        }
        assertEquals(mFleet.replica("desk-mtl-1").executionCount("added"), 1);
    }

    /** Lists the keys of callers that announce long bodies and send little. */
    @DataProvider
    public Object[][] keysOfHoarders() {
        return new Object[][] {{"no-such-key"}, {KEY}};
    }

    @Test(dataProvider = "keysOfHoarders")
    public void announcedBodiesTakeTheMemoryOfSoundCallers(String key) {
        List<RawCallerConnection> hoarders = new ArrayList<>();
        try {
            for (int i = 0; i < HOARDERS; i++) {
                RawCallerConnection hoarder = connect();
                hoarders.add(hoarder);
                hoarder.send(head("hoarder-" + i, "/book/x", key, ANNOUNCED_BYTES) + "x");
            }
            try (RawCallerConnection caller = connect()) {
                caller.send(head("sound", "/book/x", KEY, SHORT_BODY_BYTES) + "x".repeat(2_000));

                String response = caller.readUntil("}");

                assertTrue(response.startsWith("HTTP/1.1 200"), response);
            }
        } finally {
            hoarders.forEach(RawCallerConnection::close);
        }
    }
}
