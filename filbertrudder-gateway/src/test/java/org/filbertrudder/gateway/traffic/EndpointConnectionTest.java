package org.filbertrudder.gateway.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that a connection accepts only the complete response to its own request, whatever bytes an
 * endpoint sends.
 */
public class EndpointConnectionTest {

    private static final String VALID_RESPONSE =
            "HTTP/1.1 200 OK\r\nid: a1\r\nContent-Length: 5\r\n\r\nright";

    private Vertx mVertx;

    @BeforeClass
    public void startVertx() {
        mVertx = Vertx.vertx();
    }

    @AfterClass(alwaysRun = true)
    public void stopVertx() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Sends request a1 to a server that responds by the given action; returns the outcome. */
    private Outcome exchange(Consumer<NetSocket> serverAction) {
        NetServer server = mVertx.createNetServer();
        server.connectHandler(socket -> socket.handler(bytes -> serverAction.accept(socket)));
        server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
        CompletableFuture<Outcome> result = new CompletableFuture<>();
        Context context = mVertx.getOrCreateContext();
        EndpointConnector connector = new EndpointConnector(context, new IdHeaderProtocol());
        context.runOnContext(
                ignored ->
                        connector.connect(
                                "127.0.0.1",
                                server.actualPort(),
                                closed -> {},
                                connection -> send(connection, result)));
        try {
            return result.get(10, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new AssertionError("The connection reported no outcome.", e);
        } finally {
            server.close();
        }
    }

    private static void send(EndpointConnection connection, CompletableFuture<Outcome> result) {
        Buffer body = Buffer.buffer();
        connection.send(
                "a1",
                "GET",
                "/x",
                EndpointConnection.newHeaders(),
                Buffer.buffer(),
                new AttemptListener() {
                    @Override
                    public void head(ResponseHead head) {}

                    @Override
                    public void data(Buffer data) {
                        body.appendBuffer(data);
                    }

                    @Override
                    public void end() {
                        result.complete(
                                new Outcome(
                                        true,
                                        body.toString(),
                                        connection.isReusable(),
                                        connection.mayCarry("a1")));
                    }

                    @Override
                    public void failed(Failure failure) {
                        result.complete(new Outcome(false, body.toString(), false, false));
                    }
                },
                () -> {});
    }

    /**
     * Provides the bytes sent by the endpoint, whether they contain the complete response, and
     * whether the connection is reusable afterwards.
     */
    @DataProvider
    public Object[][] responses() {
        String otherResponse = "HTTP/1.1 200 OK\r\nid: a0\r\nContent-Length: 5\r\n\r\nwrong";
        return new Object[][] {
            {VALID_RESPONSE, true, true},
            {"HTTP/1.1 100 Continue\r\n\r\n" + VALID_RESPONSE, true, true},
            {otherResponse + VALID_RESPONSE, true, false},
            {VALID_RESPONSE.replace("id: a1\r\n", "id: a1\r\nConnection: close\r\n"), true, false},
            {
                "HTTP/1.1 200 OK\r\nid: a1\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "2\r\nri\r\n3\r\nght\r\n0\r\n\r\n",
                true,
                true
            },
            {VALID_RESPONSE.substring(0, VALID_RESPONSE.length() - 1), false, false},
            {"these are no bytes of the protocol\r\n\r\n", false, false},
            {otherResponse, false, false},
            {VALID_RESPONSE + "odd", true, false},
            {VALID_RESPONSE + "\r\n", true, false},
            {VALID_RESPONSE + otherResponse, true, false},
            {"HTTP/1.1 100 Continue\r\n\r\n".repeat(20) + VALID_RESPONSE, false, false},
            {otherResponse.repeat(5) + VALID_RESPONSE, false, false},
            {"HTTP/1.1 101 Switching Protocols\r\n\r\n" + VALID_RESPONSE, false, false},
            {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", false, false},
            {"", false, false},
        };
    }

    @Test(dataProvider = "responses")
    public void acceptsOnlyCompleteResponsesToTheRequest(
            String bytes, boolean complete, boolean reusable) {
        Outcome outcome =
                exchange(
                        socket ->
                                socket.write(bytes)
                                        .onComplete(
                                                done -> closeUnless(complete && reusable, socket)));

        assertEquals(outcome.complete(), complete);
        if (complete) {
            assertEquals(outcome.body(), "right");
            assertEquals(outcome.reusable(), reusable);
        }
    }

    private static void closeUnless(boolean reusable, NetSocket socket) {
        if (!reusable) {
            socket.close();
        }
    }

    @Test
    public void closeDelimitedResponseEndsWithConnection() {
        Outcome outcome =
                exchange(
                        socket ->
                                socket.end(
                                        Buffer.buffer("HTTP/1.1 200 OK\r\nid: a1\r\n\r\nright")));

        assertTrue(outcome.complete());
        assertEquals(outcome.body(), "right");
        assertFalse(outcome.reusable());
    }

    @Test
    public void requestThatWasRefusedIsRepeatedOnTheSameConnection() {
        String refusal = "HTTP/1.1 503 Busy\r\nid: a1\r\nContent-Length: 5\r\n\r\nright";
        Outcome refused = exchange(socket -> socket.write(refusal));
        Outcome served = exchange(socket -> socket.write(VALID_RESPONSE));

        assertTrue(refused.reusable(), "it may carry other requests");
        assertFalse(refused.mayCarryAgain());
        assertTrue(served.mayCarryAgain());
    }

    /** Provides seeds of the random changes. */
    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1}, {2}, {3}};
    }

    @Test(dataProvider = "seeds")
    public void corruptedHeadNeverYieldsAnotherBody(int seed) {
        Random random = new Random(seed);
        for (int run = 0; run < 100; run++) {
            String bytes = corruptedHead(random);
            Outcome outcome =
                    exchange(socket -> socket.write(bytes).onComplete(done -> socket.close()));

            assertTrue(!outcome.complete() || "right".startsWith(outcome.body()), bytes);
        }
    }

    /** Returns the valid response with random changes in its head. */
    private static String corruptedHead(Random random) {
        int headLength = VALID_RESPONSE.indexOf("\r\n\r\n");
        StringBuilder text = new StringBuilder(VALID_RESPONSE);
        for (int i = 0; i < 1 + random.nextInt(3); i++) {
            int at = random.nextInt(headLength);
            if (random.nextBoolean()) {
                text.setCharAt(at, (char) (32 + random.nextInt(95)));
            } else {
                text.insert(at, (char) random.nextInt(128));
            }
        }
        return text.toString();
    }

    private record Outcome(
            boolean complete, String body, boolean reusable, boolean mayCarryAgain) {}
}
