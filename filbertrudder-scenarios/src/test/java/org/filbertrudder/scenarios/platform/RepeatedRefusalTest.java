package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests a replica that writes an earlier refusal once more on a connection that is used again. */
public class RepeatedRefusalTest {

    private static final String API_KEY = "key-club";
    private static final long EXECUTION_MS = 100;
    private static final int REQUESTS = 12;

    private final Queue<String> mExecuted = new ConcurrentLinkedQueue<>();
    private Vertx mVertx;
    private PlatformFleet mFleet;
    private boolean mNamesRequest;

    @BeforeMethod
    public void startFleet() {
        mExecuted.clear();
        mVertx = Vertx.vertx();
        NetServer server = mVertx.createNetServer().connectHandler(Connection::new);
        server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
        mFleet = new PlatformFleet("mtl");
        mFleet.writeConfiguration(true);
        mFleet.store()
                .put(
                        "servers/desk-1",
                        """
                        {"service":"%s","addr":"127.0.0.1:%d","zone":"mtl-a","version":"v1",
                         "slots":16,"state":"ready","warmupMs":0,"seq":1,"born":1}\
                        """
                                .formatted(PlatformFleet.BOOKING_SERVICE, server.actualPort()));
        mFleet.startGateway("mtl-1", "mtl");
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() {
        mFleet.close();
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Lists whether the repeated refusal names its request, and the routes. */
    @DataProvider
    public Object[][] refusals() {
        return new Object[][] {
            {true, "POST", "/book/x"}, {false, "POST", "/book/x"},
            {true, "GET", "/stock/x"}, {false, "GET", "/stock/x"},
        };
    }

    @Test(dataProvider = "refusals")
    public void repeatedRefusalIsTakenForTheAnswerToARequestThatRuns(
            boolean namesRequest, String method, String path) {
        mNamesRequest = namesRequest;
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String id = "r" + i;
            PlatformClient.Response response =
                    mFleet.callerClient("mtl-1").sendPlain(id, method, path, API_KEY);
            long executions = mExecuted.stream().filter(id::equals).count();
            if (response.status() == 503) {
                assertEquals(executions, 0, "a request that ran is called not run: " + id);
            }
            if (method.equals("POST")) {
                assertTrue(executions <= 1, id + " ran " + executions + " times");
            }
            served += response.status() == 200 ? 1 : 0;
        }
        assertTrue(served > 0, "no request was served on a connection that was used again");
    }

    /** Refuses the first request of a connection, and repeats that before it answers the others. */
    private final class Connection {

        private final NetSocket mSocket;
        private final List<String> mRefusals = new ArrayList<>();
        private final RawRequestReader mRequests = new RawRequestReader();

        Connection(NetSocket socket) {
            mSocket = socket;
            socket.handler(this::receive);
        }

        private void receive(Buffer bytes) {
            mRequests
                    .add(bytes)
                    .ifPresent(request -> answer(RawRequestReader.requestId(request).orElse("")));
        }

        private void answer(String requestId) {
            if (mRefusals.isEmpty()) {
                mRefusals.add(refusal(requestId, true));
                mRefusals.add(refusal(requestId, mNamesRequest));
                mSocket.write(mRefusals.get(0));
                return;
            }
            mExecuted.add(requestId);
            mSocket.write(mRefusals.get(1));
            mVertx.setTimer(
                    EXECUTION_MS,
                    timer ->
                            mSocket.write(
                                    "HTTP/1.1 200 OK\r\nFilbertrudder-Attempt-Id: "
                                            + requestId
                                            + "\r\nFilbertrudder-Server-Stamp: s\r\n"
                                            + "Content-Length: 2\r\n\r\nok"));
        }

        private static String refusal(String requestId, boolean namesRequest) {
            return "HTTP/1.1 503 Service Unavailable\r\nFilbertrudder-Not-Executed: 1\r\n"
                    + (namesRequest ? "Filbertrudder-Attempt-Id: " + requestId + "\r\n" : "")
                    + "Content-Length: 0\r\n\r\n";
        }
    }
}
