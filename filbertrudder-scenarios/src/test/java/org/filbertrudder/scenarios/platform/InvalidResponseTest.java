package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.socket.DuplexChannel;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.impl.NetSocketInternal;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.filbertrudder.policy.membership.PeerAddress;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that callers, also of an instance in another region, get no success and no invalid status
 * of a response that is none or that ends while the request is still being sent.
 */
public class InvalidResponseTest {

    private static final int READ_TIMEOUT_MS = 10_000;
    private static final int RECEIVE_BUFFER_BYTES = 4_096;
    private static final int MAX_BODY_BYTES = 10 * 1024 * 1024;

    /** More than the buffers of a connection hold, so that it cannot be written at once. */
    private static final int LONG_BODY_BYTES = 8 * 1024 * 1024;

    private static final long DEADLINE_MS = 6_000;

    /** An invalid response is noticed at once, not when the time of the request is over. */
    private static final long AT_ONCE_MS = 2_000;

    private static final List<String> GATEWAYS = List.of("mtl-1", "sag-1");

    private final Map<String, Integer> mRuns = new ConcurrentHashMap<>();
    private Vertx mVertx;
    private PlatformFleet mFleet;
    private volatile String mResponse = "";
    private volatile boolean mAnswersEarly;
    private int mNextId;

    @BeforeClass
    public void startFleet() {
        mVertx = Vertx.vertx();
        mFleet = new PlatformFleet("mtl", "sag");
        mFleet.setMaxBodyBytes(MAX_BODY_BYTES);
        mFleet.writeConfiguration(true);
        NetServerOptions options =
                new NetServerOptions().setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        RawReplicas.start(mVertx, mFleet, options, this::serve);
        for (String gateway : GATEWAYS) {
            PlatformFleet.await(
                    "requests are served at " + gateway,
                    () -> send(gateway, "/stock/x", 0).startsWith("HTTP/1.1 200"));
        }
    }

    @AfterClass(alwaysRun = true)
    public void stopFleet() {
        mFleet.close();
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private void serve(NetSocket socket) {
        RawRequestReader requests = new RawRequestReader();
        socket.exceptionHandler(ignored -> {});
        socket.handler(
                bytes -> {
                    if (mAnswersEarly && bytes.toString().startsWith("POST")) {
                        socket.pause();
                        answer(socket, bytes.toString(), mResponse)
                                .onComplete(done -> endOutput(socket));
                    } else {
                        requests.add(bytes).ifPresent(text -> answer(socket, text, mResponse));
                    }
                });
    }

    /** Closes one direction, as a close of both resets a connection with unread bytes. */
    private static void endOutput(NetSocket socket) {
        ((DuplexChannel) ((NetSocketInternal) socket).channelHandlerContext().channel())
                .shutdownOutput();
    }

    private Future<Void> answer(NetSocket socket, String request, String response) {
        String id = RawRequestReader.requestId(request).orElse("");
        if (id.isEmpty() || response.isEmpty()) {
            return socket.write(
                    "HTTP/1.1 200 OK\r\nFilbertrudder-Attempt-Id: "
                            + id
                            + "\r\nFilbertrudder-Server-Stamp: s\r\nContent-Length: 0\r\n\r\n");
        }
        mRuns.merge(id, 1, Integer::sum);
        return socket.write(response.replace("ID", id));
    }

    private static String response(String status, String framing, String body) {
        return "HTTP/1.1 "
                + status
                + " Odd\r\nFilbertrudder-Attempt-Id: ID\r\nFilbertrudder-Server-Stamp: s\r\n"
                + framing
                + "\r\n"
                + body;
    }

    /** Sends a request and returns all that arrives until the end of the connection. */
    private String send(String gateway, String path, int bodyBytes) {
        PeerAddress address = mFleet.settings(gateway).callerAddress();
        mNextId++;
        String prompt =
                "Filbertrudder-Token-Usage: 600,80\r\nFilbertrudder-Model: m\r\n"
                        + "Filbertrudder-Prompt-Prefix: a:600\r\n";
        String head =
                "POST "
                        + path
                        + " HTTP/1.1\r\nHost: "
                        + PlatformFleet.HOST
                        + "\r\nConnection: close\r\nAuthorization: Bearer key-club\r\n"
                        + (path.startsWith("/chat") ? prompt : "")
                        + "Filbertrudder-Attempt-Id: id-"
                        + mNextId
                        + "\r\nFilbertrudder-Deadline-Ms: "
                        + DEADLINE_MS
                        + "\r\nContent-Length: "
                        + bodyBytes
                        + "\r\n\r\n";
        try (Socket socket = new Socket(address.host(), address.port())) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            OutputStream output = socket.getOutputStream();
            output.write(head.getBytes(StandardCharsets.US_ASCII));
            output.write(new byte[bodyBytes]);
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new AssertionError("The response did not end", e);
        }
    }

    /** Lists instances, routes and statuses outside the range that HTTP defines. */
    @DataProvider
    public Object[][] statuses() {
        List<Object[]> cases = new ArrayList<>();
        for (String gateway : GATEWAYS) {
            for (String path : List.of("/book/x", "/stock/x", "/chat/x")) {
                for (String status : List.of("000", "0", "099", "600", "999", "1000")) {
                    cases.add(new Object[] {gateway, path, status});
                }
            }
        }
        return cases.toArray(Object[][]::new);
    }

    /** Guards against invalid statuses that reach the caller, or are awaited to the deadline. */
    @Test(dataProvider = "statuses")
    public void invalidStatusReachesTheCaller(String gateway, String path, String status) {
        mResponse = response(status, "Content-Length: 4\r\n", "part");
        long startNs = System.nanoTime();
        String received;
        try {
            received = send(gateway, path, 0);
        } finally {
            mResponse = "";
        }

        assertTrue(received.startsWith("HTTP/1.1 502"), received);
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
        assertTrue(elapsedMs < AT_ONCE_MS, elapsedMs + " ms");
    }

    /** Lists instances, routes and statuses of responses without a length. */
    @DataProvider
    public Object[][] earlyResponses() {
        List<Object[]> cases = new ArrayList<>();
        for (String gateway : GATEWAYS) {
            for (String path : List.of("/book/x", "/stock/x", "/chat/x")) {
                for (int bodyBytes : List.of(1024 * 1024, 3 * 1024 * 1024, LONG_BODY_BYTES)) {
                    cases.add(new Object[] {gateway, path, "200", bodyBytes});
                    cases.add(new Object[] {gateway, path, "400", bodyBytes});
                }
            }
        }
        return cases.toArray(Object[][]::new);
    }

    /** Guards against a part of a response that is taken for all of it. */
    @Test(dataProvider = "earlyResponses")
    public void responseThatEndsBeforeItsRequestLooksComplete(
            String gateway, String path, String status, int bodyBytes) {
        String type = path.startsWith("/chat") ? "text/event-stream" : "text/plain";
        mResponse = response(status, "Content-Type: " + type + "\r\n", "id: 1\ndata: part\n\n");
        mAnswersEarly = true;
        String received;
        try {
            received = send(gateway, path, bodyBytes);
        } finally {
            mAnswersEarly = false;
            mResponse = "";
        }

        boolean isCutStream =
                received.startsWith("HTTP/1.1 200")
                        && received.contains("transfer-encoding: chunked")
                        && !received.endsWith("0\r\n\r\n");
        assertTrue(received.startsWith("HTTP/1.1 502") || isCutStream, received);
    }

    /** Guards against early responses that are lost although they are whole by their length. */
    @Test
    public void wholeEarlyResponseIsLost() {
        mResponse = response("200", "Content-Length: 4\r\n", "whole".substring(1));
        mAnswersEarly = true;
        try {
            assertEquals(send("mtl-1", "/book/x", LONG_BODY_BYTES).split(" ")[1], "200");
        } finally {
            mAnswersEarly = false;
            mResponse = "";
        }
    }
}
