package org.filbertrudder.gateway.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.HttpHeaders;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a response which breaks off at any byte is never taken for a complete one. */
public class CutResponseTest {

    private static final String FIRST_REQUEST = "a0";
    private static final String REQUEST = "a1";
    private static final String BODY = "the whole body";
    private static final String HEAD_END = "\r\n\r\n";
    private static final String FINAL_HEAD = "HTTP/1.1 200 OK\r\nid: a1\r\nServer: s 1\r\n";
    private static final String FIRST_RESPONSE =
            "HTTP/1.1 200 OK\r\nid: a0\r\nContent-Length: 5\r\n\r\nfirst";

    /** Longer than what the socket buffers on both sides hold. */
    private static final int LONG_BODY_BYTES = 16 * 1024 * 1024;

    private Vertx mVertx;
    private NetServer mClosingServer;
    private NetServer mResettingServer;
    private volatile String mResponse;
    private volatile NetSocket mServerSocket;
    private volatile boolean mResetOnData;

    @BeforeClass
    public void start() {
        mVertx = Vertx.vertx();
        mClosingServer = listen(new NetServerOptions());
        // Without lingering, a close resets the connection.
        mResettingServer = listen(new NetServerOptions().setSoLinger(0));
    }

    @BeforeMethod
    public void closeAfterTheResponse() {
        mResetOnData = false;
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private NetServer listen(NetServerOptions options) {
        NetServer server = mVertx.createNetServer(options);
        server.connectHandler(socket -> socket.handler(bytes -> respond(socket, bytes)));
        server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
        return server;
    }

    private void respond(NetSocket socket, Buffer request) {
        if (request.toString().contains("id: " + FIRST_REQUEST)) {
            socket.write(FIRST_RESPONSE);
        } else {
            socket.pause();
            mServerSocket = socket;
            Future<Void> written = socket.write(mResponse);
            if (!mResetOnData) {
                written.onComplete(done -> socket.close());
            }
        }
    }

    /** Lists the framing of the body. */
    private enum Framing {
        LENGTH("Content-Length: 14\r\n\r\n" + BODY),
        EMPTY("Content-Length: 0\r\n\r\n"),
        CHUNKS(
                "Transfer-Encoding: chunked\r\n\r\n"
                        + "a;x=1\r\nthe whole \r\n4\r\nbody\r\n0\r\nafter: x\r\n\r\n"),
        CLOSE("\r\n" + BODY);

        private final String mBytes;

        Framing(String bytes) {
            mBytes = bytes;
        }
    }

    /** Lists responses by interim response, framing, use of the connection and its end. */
    @DataProvider
    public Object[][] responses() {
        List<String> interimResponses =
                List.of(
                        "",
                        "HTTP/1.1 100 Continue\r\n\r\n",
                        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
        List<Object[]> cases = new ArrayList<>();
        for (String interim : interimResponses) {
            for (Framing framing : Framing.values()) {
                for (boolean used : List.of(false, true)) {
                    for (boolean reset : List.of(false, true)) {
                        cases.add(new Object[] {interim, framing, used, reset});
                    }
                }
            }
        }
        return cases.toArray(Object[][]::new);
    }

    @Test(dataProvider = "responses")
    public void responseCutAtAnyByteIsTakenForComplete(
            String interim, Framing framing, boolean connectionUsed, boolean reset) {
        String response = interim + FINAL_HEAD + framing.mBytes;
        int headEnd = response.indexOf(HEAD_END, interim.length()) + HEAD_END.length();
        String body = framing == Framing.EMPTY ? "" : BODY;
        for (int length = 0; length <= response.length(); length++) {
            mResponse = response.substring(0, length);
            Outcome outcome = exchange(reset, connectionUsed, Buffer.buffer());

            assertTrue(body.startsWith(outcome.body()), mResponse + " yields " + outcome);
            assertTrue(length >= headEnd || !outcome.headReceived(), mResponse);
            if (framing == Framing.CLOSE) {
                // Such a response ends where its connection ends, unless that is reset.
                assertEquals(outcome.complete(), length >= headEnd && !reset, mResponse);
                assertTrue(
                        reset || length < headEnd || outcome.body().length() == length - headEnd);
            } else {
                assertEquals(outcome.complete(), length == response.length(), mResponse);
                assertTrue(!outcome.complete() || outcome.body().equals(body), mResponse);
            }
        }
    }

    /** Lists whether the connection has carried a request before. */
    @DataProvider
    public Object[][] connections() {
        return new Object[][] {{false}, {true}};
    }

    /** The endpoint answers early, without reading the request to its end. */
    @Test(dataProvider = "connections")
    public void responseResetWhileItsRequestIsSentIsTakenForComplete(boolean connectionUsed) {
        mResponse = FINAL_HEAD + "\r\nthe";
        mResetOnData = true;

        Outcome outcome = exchange(true, connectionUsed, Buffer.buffer(new byte[LONG_BODY_BYTES]));

        assertEquals(outcome, new Outcome(true, "the", false));
    }

    private Outcome exchange(boolean reset, boolean connectionUsed, Buffer requestBody) {
        NetServer server = reset ? mResettingServer : mClosingServer;
        CompletableFuture<Outcome> result = new CompletableFuture<>();
        Context context = mVertx.getOrCreateContext();
        EndpointConnector connector = new EndpointConnector(context, new IdHeaderProtocol());
        context.runOnContext(
                ignored ->
                        connector.connect(
                                "127.0.0.1",
                                server.actualPort(),
                                closed -> {},
                                connection ->
                                        send(connection, connectionUsed, requestBody, result)));
        try {
            return result.get(10, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new AssertionError("The connection reported no outcome: " + mResponse, e);
        }
    }

    private void send(
            EndpointConnection connection,
            boolean connectionUsed,
            Buffer requestBody,
            CompletableFuture<Outcome> result) {
        Recorder last = new Recorder(result::complete);
        if (connectionUsed) {
            send(
                    connection,
                    FIRST_REQUEST,
                    Buffer.buffer(),
                    new Recorder(first -> send(connection, REQUEST, requestBody, last)));
        } else {
            send(connection, REQUEST, requestBody, last);
        }
    }

    private void send(
            EndpointConnection connection, String id, Buffer body, AttemptListener listener) {
        HttpHeaders headers = EndpointConnection.newHeaders();
        headers.set("id", id);
        connection.send(id, "POST", "/x", headers, body, listener, () -> {});
    }

    private record Outcome(boolean headReceived, String body, boolean complete) {}

    /** Passes on what has been received once the attempt ends. */
    private final class Recorder implements AttemptListener {

        private final Consumer<Outcome> mOnEnd;
        private final Buffer mBody = Buffer.buffer();
        private boolean mHeadReceived;

        Recorder(Consumer<Outcome> onEnd) {
            mOnEnd = onEnd;
        }

        @Override
        public void head(ResponseHead head) {
            mHeadReceived = true;
        }

        @Override
        public void data(Buffer data) {
            mBody.appendBuffer(data);
            if (mResetOnData) {
                mServerSocket.close();
            }
        }

        @Override
        public void end() {
            mOnEnd.accept(new Outcome(mHeadReceived, mBody.toString(), true));
        }

        @Override
        public void failed(Failure failure) {
            mOnEnd.accept(new Outcome(mHeadReceived, mBody.toString(), false));
        }
    }
}
