package org.filbertrudder.scenarios;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that an instance answers each request that it has read before it ends after SIGTERM, at
 * whatever step the request is.
 */
public class PlannedStopTest {

    private static final long GRACE_MS = 6_000;
    private static final long EXIT_TOLERANCE_MS = 2_000;
    private static final int ENGINE_TOKENS_PER_SECOND = 20;
    private static final int ENGINE_SLOTS = 1;
    private static final int LONG_STREAM_TOKENS = 2_000;
    private static final int ECHO_BYTES = 1_000_000;
    private static final int ECHOES = 10;
    private static final String LONG_BOOKINGS = "{\"delayMs\":60000}";
    private static final String SHORT_BOOKINGS = "{}";

    private Fleet mFleet;
    private String mApiKey;
    private String mInstance;
    private int mInstanceCount;
    private long mSignalNs;

    @BeforeClass
    public void startFleet() {
        FleetOptions options =
                FleetOptions.of(3).withEngines(ENGINE_TOKENS_PER_SECOND, ENGINE_SLOTS);
        mFleet = Fleet.start(Deployment.BUREAU, options, Path.of("target", "planned-stop-logs"));
        mFleet.scaleContracts(100);
        mFleet.awaitShardOwnership();
        mApiKey = mFleet.apiKeyOf("federation");
    }

    @AfterClass(alwaysRun = true)
    public void stopFleet() {
        if (mFleet != null) {
            mFleet.close();
        }
    }

    @BeforeMethod
    public void startInstance() {
        mInstance = "mtl-stopped-" + mInstanceCount++;
        mFleet.startInstance(
                mInstance, "mtl", 1, List.of("--drain-timeout-ms", Long.toString(GRACE_MS)));
        Fleet.await(
                "the configuration at " + mInstance,
                15_000,
                () -> mFleet.revisionAt(mInstance) >= mFleet.revisionAt("mtl-1"));
        mFleet.awaitShardOwnership();
    }

    @AfterMethod(alwaysRun = true)
    public void killInstance() {
        mFleet.platform().setStoreFaults("{\"mode\":\"UP\"}");
        mFleet.process(mInstance).kill();
        mFleet.platform().removeLiveListEntry(mInstance);
        mFleet.endpoints().setBookingBehaviour(SHORT_BOOKINGS);
    }

    private RawCallerConnection connect() {
        return RawCallerConnection.open(mFleet.process(mInstance).port("callers"));
    }

    private String request(String uri, String additionalHeaders, String body) {
        return "POST "
                + uri
                + " HTTP/1.1\r\nhost: x\r\nauthorization: Bearer "
                + mApiKey
                + "\r\ncontent-type: application/json\r\ncontent-length: "
                + body.length()
                + "\r\n"
                + additionalHeaders
                + "\r\n"
                + body;
    }

    private String booking(String slot) {
        return request("/services/bookings/bookings", "", slotBody(slot));
    }

    private static String slotBody(String slot) {
        return "{\"slot\":\"" + slot + "\"}";
    }

    private String generation(String prompt, int tokens, boolean stream) {
        return request("/v1/chat/completions", "", Fleet.chatBody(prompt, tokens, stream));
    }

    private void awaitBookingExecution(String slot) {
        Fleet.await(
                "the execution of booking " + slot,
                10_000,
                () -> mFleet.endpoints().bookingExecutions(slot) > 0);
    }

    private void awaitRunning(int requests) {
        Fleet.await(
                "running requests at " + mInstance,
                10_000,
                () -> mFleet.runningRequestsAt(mInstance) >= requests);
    }

    private void terminateInstance() {
        mSignalNs = System.nanoTime();
        mFleet.process(mInstance).terminate();
    }

    private void waitUntilAfterSignal(long timeMs) throws InterruptedException {
        long remainingNs = mSignalNs + timeMs * 1_000_000 - System.nanoTime();
        TimeUnit.NANOSECONDS.sleep(Math.max(0, remainingNs));
    }

    private void assertInstanceExits() {
        int exitCode = mFleet.process(mInstance).awaitExit(GRACE_MS + EXIT_TOLERANCE_MS);
        assertEquals(exitCode, 0, "exit code, or -1 if the process is still running");
    }

    private static void assertRefusedAsNotRun(String response) {
        assertTrue(response.startsWith("HTTP/1.1 503 "), response);
        assertTrue(response.contains("\"not_run\":true"), response);
        assertFalse(response.endsWith(RawCallerConnection.RESET), response);
    }

    @Test
    public void bookingSentLateInTheGraceIsCutWithoutAnAnswer() throws Exception {
        mFleet.endpoints().setBookingBehaviour(LONG_BOOKINGS);
        try (RawCallerConnection early = connect();
                RawCallerConnection late = connect()) {
            early.send(booking("early"));
            awaitBookingExecution("early");
            terminateInstance();
            waitUntilAfterSignal(GRACE_MS - 2_000);
            late.send(booking("late"));

            assertRefusedAsNotRun(late.readToEnd());
            assertInstanceExits();
            assertEquals(mFleet.endpoints().bookingExecutions("late"), 0);
        }
    }

    /** Lists requests that run at the end of the grace, and the error code of their response. */
    @DataProvider
    public Object[][] requestsLongerThanTheGrace() {
        return new Object[][] {
            {"booking", "outcome_unknown"},
            {"booking with a key", "outcome_unknown"},
            {"stream", "answer_incomplete"},
            {"generation", "answer_incomplete"},
        };
    }

    private String longRequest(String description) {
        return switch (description) {
            case "booking" -> booking("cut");
            case "booking with a key" ->
                    request(
                            "/services/bookings/bookings",
                            "idempotency-key: cut\r\n",
                            slotBody("cut"));
            case "stream" -> generation("A long story", LONG_STREAM_TOKENS, true);
            default -> generation("A long answer", LONG_STREAM_TOKENS, false);
        };
    }

    @Test(dataProvider = "requestsLongerThanTheGrace")
    public void requestThatOutlastsTheGraceIsClosedWithoutAnAnswer(
            String description, String code) {
        mFleet.endpoints().setBookingBehaviour(LONG_BOOKINGS);
        try (RawCallerConnection caller = connect()) {
            caller.send(longRequest(description));
            awaitRunning(1);
            terminateInstance();

            String response = caller.readToEnd();
            assertTrue(response.contains("\"code\":\"" + code + "\""), response);
            assertTrue(response.contains("\"not_run\":false"), response);
            assertFalse(response.endsWith(RawCallerConnection.RESET), response);
            assertInstanceExits();
        }
    }

    @Test
    public void waitingRequestIsClosedWithoutAnAnswerAtTheEndOfTheGrace() throws Exception {
        int engines = mFleet.endpoints().enginePorts().size();
        List<RawCallerConnection> streams = new ArrayList<>();
        try (RawCallerConnection caller = connect()) {
            for (int i = 0; i < engines; i++) {
                streams.add(connect());
                streams.get(i).send(generation("Story " + i, LONG_STREAM_TOKENS, true));
            }
            awaitRunning(engines);
            terminateInstance();
            caller.send(generation("Waits for an engine", 1, false));

            assertRefusedAsNotRun(caller.readToEnd());
            assertInstanceExits();
        } finally {
            streams.forEach(RawCallerConnection::close);
        }
    }

    /** Lists how much of the body has arrived before SIGTERM; the rest arrives later. */
    @DataProvider
    public Object[][] bodyBytesBeforeTheSignal() {
        return new Object[][] {{0}, {5}};
    }

    @Test(dataProvider = "bodyBytesBeforeTheSignal")
    public void requestThatIsStillArrivingIsCutWhenNoOtherRequestRuns(int bodyBytesBeforeSignal)
            throws Exception {
        String booking = booking("body-" + bodyBytesBeforeSignal);
        int lengthBeforeSignal = booking.indexOf("\r\n\r\n") + 4 + bodyBytesBeforeSignal;
        try (RawCallerConnection caller = connect()) {
            caller.send(booking.substring(0, lengthBeforeSignal));
            TimeUnit.MILLISECONDS.sleep(200);
            terminateInstance();
            waitUntilAfterSignal(2_500);
            caller.send(booking.substring(lengthBeforeSignal));

            String response = caller.readToEnd();
            assertTrue(response.startsWith("HTTP/1.1 201 "), response);
            assertInstanceExits();
        }
    }

    @Test
    public void requestWhoseBodyDoesNotEndIsClosedWithoutAnAnswer() throws Exception {
        String booking = booking("never-whole");
        try (RawCallerConnection caller = connect()) {
            caller.send(booking.substring(0, booking.length() - 1));
            TimeUnit.MILLISECONDS.sleep(200);
            terminateInstance();

            assertRefusedAsNotRun(caller.readToEnd());
            assertInstanceExits();
        }
    }

    @Test
    public void graceBeginsOnlyWhenTheStoreHasAnswered() {
        mFleet.endpoints().setBookingBehaviour(LONG_BOOKINGS);
        try (RawCallerConnection caller = connect()) {
            caller.send(booking("hanging-store"));
            awaitBookingExecution("hanging-store");
            Fleet.await("a shard of " + mInstance, 20_000, this::holdsShard);
            mFleet.platform().setStoreFaults("{\"mode\":\"HANGING\"}");
            terminateInstance();

            assertInstanceExits();
            String response = caller.readToEnd();
            assertTrue(response.contains("\"code\":\"outcome_unknown\""), response);
        }
    }

    private boolean holdsShard() {
        for (JsonNode owner : mFleet.dump(mInstance).path("control").path("shardOwners")) {
            boolean released = owner.path("released").asBoolean();
            if (owner.path("owner").asText().equals(mInstance) && !released) {
                return true;
            }
        }
        return false;
    }

    @Test
    public void responsesThatTheirCallerReadsSlowlyAreTruncated() throws Exception {
        String echo = request("/services/bookings/echo", "", "x".repeat(ECHO_BYTES));
        int port = mFleet.process(mInstance).port("callers");
        try (RawCallerConnection caller = RawCallerConnection.openWithReceiveBuffer(port, 4_096)) {
            caller.send(echo.repeat(ECHOES));
            Fleet.await("the end of all requests", 10_000, () -> completedRequests() >= ECHOES);
            terminateInstance();
            waitUntilAfterSignal(3_000);

            String response = caller.readToEnd();
            assertEquals(response.split("HTTP/1.1 200 ", -1).length - 1, ECHOES);
            assertTrue(response.endsWith("x".repeat(ECHO_BYTES)), "length " + response.length());
            assertInstanceExits();
        }
    }

    private long completedRequests() {
        return mFleet.dump(mInstance).path("metrics").path("requests.completed").asLong();
    }

    @Test
    public void forwardedResponsesAreCutThatAnotherRegionHasNotReceived() throws Exception {
        mFleet.endpoints().setBookingBehaviour("{\"delayMs\":2500}");
        try (RawForwardConnection region = RawForwardConnection.open(forwardPort())) {
            region.forward("/services/bookings/bookings", slotBody("forwarded"));
            awaitBookingExecution("forwarded");
            terminateInstance();
            for (int i = 0; i < ECHOES; i++) {
                region.forward("/services/bookings/echo", "x".repeat(ECHO_BYTES));
            }
            Fleet.await("running requests", 10_000, () -> mFleet.runningRequestsAt(mInstance) > 0);
            Fleet.await(
                    "the end of all requests",
                    10_000,
                    () -> mFleet.runningRequestsAt(mInstance) == 0);

            assertEquals(region.readResponses(), ECHOES + 1);
            assertInstanceExits();
        }
    }

    private int forwardPort() {
        for (JsonNode member : mFleet.dump(mInstance).path("control").path("members")) {
            if (member.path("id").asText().equals(mInstance)) {
                return member.path("forwardPort").asInt();
            }
        }
        throw new AssertionError("not a member: " + mInstance);
    }

    @Test
    public void pipelinedRequestIsCutWhenTheOneBeforeItEnds() {
        mFleet.endpoints().setBookingBehaviour("{\"delayMs\":2500}");
        try (RawCallerConnection caller = connect()) {
            caller.send(booking("pipelined-1") + booking("pipelined-2"));
            awaitBookingExecution("pipelined-1");
            terminateInstance();

            String response = caller.readToEnd();
            assertTrue(response.startsWith("HTTP/1.1 201 "), response);
            assertInstanceExits();
            boolean answered = response.lastIndexOf("HTTP/1.1 ") > 0;
            assertTrue(
                    answered || mFleet.endpoints().bookingExecutions("pipelined-2") == 0, response);
        }
    }
}
