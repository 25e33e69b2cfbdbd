package org.filbertrudder.scenarios;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.filbertrudder.model.Inventory;
import org.filbertrudder.model.Rules;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that each request gets an answer, at whatever step it is, when a change of the
 * configuration removes what it needs.
 */
public class ConfigurationChangeTest {

    private static final int ENGINE_TOKENS_PER_SECOND = 20;
    private static final int ENGINE_SLOTS = 1;
    private static final int STREAM_TOKENS = 100;
    private static final String INSTANCE = "mtl-1";

    private final List<RawCallerConnection> mStreams = new ArrayList<>();
    private Fleet mFleet;
    private Inventory mInventory;
    private Fleet.IssuedApiKey mKey;

    @BeforeClass
    public void startFleet() {
        FleetOptions options =
                FleetOptions.of(3).withEngines(ENGINE_TOKENS_PER_SECOND, ENGINE_SLOTS);
        mFleet = Fleet.start(Deployment.BUREAU, options, Path.of("target", "change-logs"));
        mFleet.awaitShardOwnership();
    }

    @AfterClass(alwaysRun = true)
    public void stopFleet() {
        if (mFleet != null) {
            mFleet.close();
        }
    }

    @BeforeMethod
    public void restoreConfiguration() {
        mFleet.scaleContracts(100);
        mInventory =
                Inventory.parse(mFleet.callAdminApi(INSTANCE, "GET", "/inventory", null).body());
        mKey = mFleet.issueApiKey("federation");
        mFleet.endpoints().setBookingBehaviour("{\"delayMs\":1500}");
    }

    @AfterMethod(alwaysRun = true)
    public void closeStreams() {
        mStreams.forEach(RawCallerConnection::close);
        mStreams.clear();
    }

    private String request(String uri, String body) {
        return "POST "
                + uri
                + " HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer "
                + mKey.apiKey()
                + "\r\ncontent-type: application/json\r\ncontent-length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    /** Lists the steps of a request and the changes; the change comes at the step. */
    @DataProvider
    public Object[][] stepsAndChanges() {
        List<Object[]> cases = new ArrayList<>();
        for (String step : List.of("body arriving", "waiting", "running")) {
            for (String change : List.of("services and endpoints", "key", "time limits")) {
                cases.add(new Object[] {step, change});
            }
        }
        return cases.toArray(Object[][]::new);
    }

    @Test(dataProvider = "stepsAndChanges")
    public void requestGetsNoAnswerWhenAChangeRemovesWhatItNeeds(String step, String change)
            throws Exception {
        int port = mFleet.process(INSTANCE).port("callers");
        String slot = step.replace(' ', '-') + "-" + change.replace(' ', '-');
        String booking = request("/services/bookings/bookings", "{\"slot\":\"" + slot + "\"}");
        int headLength = booking.indexOf("\r\n\r\n") + 4;
        try (RawCallerConnection caller = RawCallerConnection.open(port)) {
            switch (step) {
                case "body arriving" -> {
                    caller.send(booking.substring(0, headLength + 5));
                    TimeUnit.MILLISECONDS.sleep(200);
                    apply(change);
                    caller.send(booking.substring(headLength + 5));
                }
                case "waiting" -> {
                    occupyEngines(port);
                    caller.send(request("/v1/chat/completions", Fleet.chatBody("Waits", 1, false)));
                    TimeUnit.MILLISECONDS.sleep(300);
                    apply(change);
                }
                default -> {
                    caller.send(booking);
                    Fleet.await(
                            "the execution of booking " + slot,
                            10_000,
                            () -> mFleet.endpoints().bookingExecutions(slot) > 0);
                    apply(change);
                }
            }

            assertIsComplete(caller.readToEnd());
        }
    }

    /** Starts more streams than the engines of one region have slots for. */
    private void occupyEngines(int port) {
        int engines = mFleet.endpoints().enginePorts().size();
        for (int i = 0; i < engines; i++) {
            RawCallerConnection stream = RawCallerConnection.open(port);
            mStreams.add(stream);
            stream.send(
                    request(
                            "/v1/chat/completions",
                            Fleet.chatBody("Story " + i, STREAM_TOKENS, true)));
        }
        Fleet.await(
                "running streams", 10_000, () -> mFleet.runningRequestsAt(INSTANCE) > engines / 2);
    }

    private void apply(String change) {
        if (change.equals("key")) {
            Reply reply = mFleet.callAdminApi(INSTANCE, "DELETE", "/keys/" + mKey.keyId(), null);
            mFleet.awaitRevision(reply.json().path("revision").asLong());
        } else {
            mFleet.awaitRevision(mFleet.applyInventory(changedInventory(change)));
        }
    }

    private Inventory changedInventory(String change) {
        if (change.equals("time limits")) {
            return mInventory.withRules(Rules.of(1, 50, 1, 1, 0));
        }
        return new Inventory(
                mInventory.regions(),
                mInventory.links(),
                List.of(),
                List.of(),
                mInventory.accounts(),
                mInventory.rules());
    }

    private static void assertIsComplete(String response) {
        assertTrue(response.startsWith("HTTP/1.1 "), "response: " + response);
        int headEnd = response.indexOf("\r\n\r\n") + 4;
        String length = response.replaceAll("(?is).*\r\ncontent-length: (\\d+)\r\n.*", "$1");
        assertEquals(response.length() - headEnd, Integer.parseInt(length), response);
    }
}
