package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.filbertrudder.standins.platform.ReplicaStandIn;
import org.filbertrudder.standins.platform.ReplicaStandIn.Fault;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what callers get from an instance that stops on SIGTERM. */
public class PlannedStopTest {

    private static final String BOOKING_REPLICA = "desk-mtl-1";

    private static final int UNREAD_LOG_LINES = 400;
    private static final int WAITING_CALLERS = 40;

    /** A time of a stop just before requests are refused, in milliseconds. */
    private static final long LAST_MS_OF_ACCEPTANCE = 1_900;

    /** A time of a stop without requests at which the drain has ended, in milliseconds. */
    private static final long END_OF_DRAIN_MS = 2_500;

    private PlatformFleet mFleet;
    private GatewayProcess mProcess;
    private long mStopNs;

    @BeforeMethod
    public void prepareInstance() throws IOException {
        mFleet = new PlatformFleet("mtl");
        mFleet.writeConfiguration(true);
        mFleet.startReplica(BOOKING_REPLICA, PlatformFleet.BOOKING_SERVICE, "mtl", 16);
        mFleet.startReplica("pool-mtl-1", PlatformFleet.MODEL_SERVICE, "mtl", 16);
        ThreadLocalRandom random = ThreadLocalRandom.current();
        mProcess =
                new GatewayProcess(
                        "mtl-1",
                        "127.1." + random.nextInt(256) + "." + random.nextInt(1, 255),
                        "mtl",
                        List.of(),
                        mFleet.storePort(),
                        Files.createTempDirectory("stop"));
    }

    @AfterMethod(alwaysRun = true)
    public void endProcess() {
        mProcess.close();
        mFleet.close();
    }

    private void start() {
        mProcess.start();
        PlatformFleet.await("the instance is ready", mProcess::isReady);
    }

    private void stop() {
        mStopNs = System.nanoTime();
        mProcess.terminate();
    }

    private void awaitStopNoticed() {
        PlatformFleet.await("the instance is not ready", () -> !mProcess.isReady());
    }

    private long msSinceStop() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mStopNs);
    }

    private ReplicaStandIn bookings() {
        return mFleet.replica(BOOKING_REPLICA);
    }

    @Test
    public void stopEndsWithoutAnswerWhileABodyIsRead() {
        start();
        try (RawCallerConnection caller = new RawCallerConnection(mProcess.callerAddress())) {
            caller.send(RawCallerConnection.head("reading", "POST", "/book/x", 8) + "half");
            stop();

            String response = caller.readToEnd();
            assertTrue(response.startsWith("HTTP/1.1 503 "), response);
            assertTrue(response.toLowerCase().contains("\r\nretry-after: "), response);
        }
        assertEquals(bookings().executionCount("reading"), 0);
    }

    /** Lists paths of requests that may not be repeated. */
    @DataProvider
    public Object[][] unrepeatablePaths() {
        return new Object[][] {{"/book/x"}, {"/chat/x"}};
    }

    @Test(dataProvider = "unrepeatablePaths")
    public void unrepeatableRequestThatMayNotEndInTimeIsStartedInAStop(String path) {
        mFleet.replicas().forEach(replica -> replica.setFault(Fault.NO_RESPONSE));
        start();
        stop();
        awaitStopNoticed();

        PlatformClient.Response response =
                mProcess.callerClient().sendPlain("late", "POST", path, "key-club");

        assertEquals(response.status(), 503, response.body());
        assertTrue(response.retryAfter().isPresent());
        mFleet.replicas().forEach(replica -> assertEquals(replica.executionCount("late"), 0));
    }

    @Test
    public void unrepeatableRequestThatEndsInTimeIsServedInAStop() {
        start();
        PlatformClient client = mProcess.callerClient();
        assertEquals(client.sendPlain("POST", "/book/x", "key-club").status(), 200);
        stop();
        awaitStopNoticed();

        assertEquals(client.sendPlain("POST", "/book/x", "key-club").status(), 200);
    }

    /**
     * Guards against requests that wait to be accepted at the end of the drain and get no answer.
     */
    @Test
    public void requestsThatWaitToBeAcceptedAtTheEndOfTheDrainAreRefused() {
        start();
        assertEquals(
                mProcess.callerClient().sendPlain("GET", "/stock/x", "key-club").status(), 200);
        stop();
        awaitSinceStop(LAST_MS_OF_ACCEPTANCE);
        mProcess.signal("STOP");
        List<RawCallerConnection> callers = new ArrayList<>();
        for (int i = 0; i < WAITING_CALLERS; i++) {
            RawCallerConnection caller = new RawCallerConnection(mProcess.callerAddress());
            caller.send(RawCallerConnection.head("waiting-" + i, "GET", "/stock/x", 0));
            callers.add(caller);
        }
        awaitSinceStop(END_OF_DRAIN_MS);
        mProcess.signal("CONT");

        List<String> responses = callers.stream().map(RawCallerConnection::readToEnd).toList();
        callers.forEach(RawCallerConnection::close);
        assertEquals(
                responses.stream().filter(each -> !each.startsWith("HTTP/1.1 503 ")).toList(),
                List.of());
    }

    private void awaitSinceStop(long timeMs) {
        PlatformFleet.await(timeMs + " ms have passed", () -> msSinceStop() >= timeMs);
    }

    /** Has the instance log more than a pipe holds. */
    private void fillOutput() {
        String withoutId = "GET /" + "x".repeat(500) + " HTTP/1.1\r\nHost: a.example\r\n\r\n";
        try (RawCallerConnection caller = new RawCallerConnection(mProcess.callerAddress())) {
            for (int i = 0; i < UNREAD_LOG_LINES; i++) {
                caller.send(withoutId);
                caller.readUntil("\"not_run\":true}");
            }
        }
    }

    @Test
    public void instanceOutlastsItsGraceWhenItsOutputIsNotRead() {
        mFleet.replicas().forEach(replica -> replica.setFault(Fault.NO_RESPONSE));
        mProcess.startWithUnreadOutput();
        PlatformFleet.await("the instance is ready", mProcess::isReady);
        fillOutput();
        try (RawCallerConnection caller = new RawCallerConnection(mProcess.callerAddress())) {
            caller.send(RawCallerConnection.head("running", "POST", "/book/x", 0));
            PlatformFleet.await(
                    "the request is being executed",
                    () -> bookings().executionCount("running") == 1);
            stop();

            String response = caller.readToEnd();
            assertTrue(response.startsWith("HTTP/1.1 502 "), response);
            assertTrue(
                    msSinceStop() * 6 >= 5 * 1_000 * GatewayProcess.GRACE_SECONDS,
                    "The request was cut " + msSinceStop() + " ms after the signal.");
        }
        mProcess.awaitExit();
        long exitMs = msSinceStop();
        assertTrue(exitMs < 1_000 * GatewayProcess.GRACE_SECONDS, "It took " + exitMs + " ms.");
    }
}
