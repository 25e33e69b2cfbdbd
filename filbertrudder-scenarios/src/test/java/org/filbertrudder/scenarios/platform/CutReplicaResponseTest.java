package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.ChannelOption;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.impl.NetSocketInternal;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.filbertrudder.policy.membership.PeerAddress;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that callers, also of an instance in another region, detect a response that its replica has
 * cut anywhere in its head or body.
 */
public class CutReplicaResponseTest {

    private static final int READ_TIMEOUT_MS = 10_000;
    private static final int CUT_STEP_BYTES = 13;
    private static final String HEAD_END = "\r\n\r\n";
    private static final String END_OF_CHUNKS = "0\r\n\r\n";
    private static final Pattern LENGTH = Pattern.compile("(?i)content-length: *(\\d+)");
    private static final Pattern RESPONSE =
            Pattern.compile("HTTP/1\\.1 (\\d+).*?\r\n\r\n(.*)", Pattern.DOTALL);
    private static final List<Integer> STATUSES_OF_REQUESTS_NOT_RUN = List.of(408, 421, 429, 503);

    private final Map<String, Integer> mRuns = new ConcurrentHashMap<>();
    private Vertx mVertx;
    private PlatformFleet mFleet;
    private volatile Cut mCut = Cut.NONE;
    private int mNextId;

    @BeforeClass
    public void startFleet() {
        mVertx = Vertx.vertx();
        mFleet = new PlatformFleet("mtl", "sag");
        mFleet.writeConfiguration(true);
        RawReplicas.start(mVertx, mFleet, new NetServerOptions(), Connection::new);
        for (String gateway : List.of("mtl-1", "sag-1")) {
            for (Kind kind : Kind.values()) {
                PlatformFleet.await(
                        kind + " is served at " + gateway,
                        () -> send(gateway, kind, newId()).isWhole(kind));
            }
        }
    }

    @AfterClass(alwaysRun = true)
    public void stopFleet() {
        mFleet.close();
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Lists the kinds of routes, and how often a request of each may run. */
    private enum Kind {
        UNSAFE("/book/x", 1, "the whole body"),
        SAFE("/stock/x", 2, "the whole body"),
        STREAM("/chat/x", 1, events()),
        RESUMABLE_STREAM("/digest/x", 2, events());

        private final String mPath;
        private final int mMaxRuns;
        private final String mBody;

        Kind(String path, int maxRuns, String body) {
            mPath = path;
            mMaxRuns = maxRuns;
            mBody = body;
        }

        private boolean isStream() {
            return this == STREAM || this == RESUMABLE_STREAM;
        }

        private static String events() {
            return "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n";
        }
    }

    /** Lists the framing of a response. */
    private enum Framing {
        LENGTH,
        CHUNKS,
        CLOSE;

        private String response(String type, String body) {
            String head =
                    "HTTP/1.1 200 OK\r\nFilbertrudder-Attempt-Id: ID\r\nContent-Type: "
                            + type
                            + "\r\nKeep-Alive: timeout=5\r\nFilbertrudder-Server-Stamp: s.1.2\r\n";
            return switch (this) {
                case LENGTH -> head + "Content-Length: " + body.length() + HEAD_END + body;
                case CHUNKS -> head + "Transfer-Encoding: chunked" + HEAD_END + chunks(body);
                case CLOSE -> head + "\r\n" + body;
            };
        }

        private static String chunks(String body) {
            return chunk(body.substring(0, 12))
                    + chunk(body.substring(12))
                    + "0\r\nafter: x\r\n\r\n";
        }

        private static String chunk(String text) {
            return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        }
    }

    /**
     * Determines the first response to a request.
     *
     * @param length the number of bytes that are sent; negative for all
     * @param reset whether the connection is reset afterwards instead of closed
     */
    private record Cut(Framing framing, int length, boolean reset) {

        private static final Cut NONE = new Cut(Framing.LENGTH, -1, false);
    }

    /** Lists routes, instances, and the end and use of the connection to the replica. */
    @DataProvider
    public Object[][] cuts() {
        List<Object[]> cases = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            for (String gateway : List.of("mtl-1", "sag-1")) {
                for (boolean reset : List.of(false, true)) {
                    for (boolean connectionUsed : List.of(false, true)) {
                        cases.add(new Object[] {kind, gateway, reset, connectionUsed});
                    }
                }
            }
        }
        return cases.toArray(Object[][]::new);
    }

    @Test(dataProvider = "cuts")
    public void cutResponseLooksCompleteToTheCaller(
            Kind kind, String gateway, boolean reset, boolean connectionUsed) {
        int cutsSeen = 0;
        int cuts = 0;
        for (Framing framing : Framing.values()) {
            String response = responseOf(kind, framing);
            // Where a body ends with its connection, a regular end within it cannot be noticed.
            boolean headOnly = framing == Framing.CLOSE && !reset;
            int end = headOnly ? response.indexOf(HEAD_END) + 3 : response.length() - 1;
            for (int length = mNextId % CUT_STEP_BYTES; length <= end; length += CUT_STEP_BYTES) {
                mCut = Cut.NONE;
                if (connectionUsed) {
                    send(gateway, kind, newId());
                }
                mCut = new Cut(framing, length, reset);
                String id = newId();
                Received received = send(gateway, kind, id);
                int runs = mRuns.getOrDefault(id, 0);
                checkResponse(kind, received, runs, mCut + " " + received);
                cuts++;
                cutsSeen += runs > 0 ? 1 : 0;
            }
        }
        assertTrue(cutsSeen > cuts / 2, "Too few requests reached the replica: " + cutsSeen);
    }

    private static void checkResponse(Kind kind, Received received, int runs, String description) {
        assertTrue(runs <= kind.mMaxRuns, runs + " runs: " + description);
        boolean servedWhole = received.isWhole(kind);
        if (received.isSuccess() && received.complete()) {
            assertEquals(received.body(), kind.mBody, description);
            assertTrue(runs > 1, "No replica has sent this response: " + description);
        }
        if (!servedWhole && received.complete() && runs > 0) {
            boolean notRun = STATUSES_OF_REQUESTS_NOT_RUN.contains(received.status());
            assertFalse(notRun, "It has run: " + description);
            assertEquals(received.status(), 502, description);
        }
        if (kind.isStream()) {
            assertTrue(
                    !received.isSuccess() || kind.mBody.startsWith(received.body()), description);
        }
    }

    private static String responseOf(Kind kind, Framing framing) {
        return framing.response(kind.isStream() ? "text/event-stream" : "text/plain", kind.mBody);
    }

    private String newId() {
        mNextId++;
        return "cut-" + mNextId;
    }

    /** Sends a request and returns all that arrives until the end of the connection. */
    private Received send(String gateway, Kind kind, String id) {
        PeerAddress address = mFleet.settings(gateway).callerAddress();
        String request =
                """
                POST %s HTTP/1.1\r
                Host: %s\r
                Connection: close\r
                Authorization: Bearer key-club\r
                Filbertrudder-Attempt-Id: %s\r
                Filbertrudder-Deadline-Ms: 6000\r
                %sContent-Length: %d\r
                \r
                %s\
                """
                        .formatted(
                                kind.mPath,
                                PlatformFleet.HOST,
                                id,
                                kind.isStream() ? promptHeaders(id) : "",
                                id.length(),
                                id);
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        try (Socket socket = new Socket(address.host(), address.port())) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            InputStream input = socket.getInputStream();
            for (int next = input.read(); next >= 0; next = input.read()) {
                received.write(next);
            }
        } catch (SocketException e) {
            // The connection was reset, which ends the response as well.
            return Received.of(received.toString(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new AssertionError("The response did not end: " + received, e);
        }
        return Received.of(received.toString(StandardCharsets.UTF_8));
    }

    private static String promptHeaders(String id) {
        return "Filbertrudder-Token-Usage: 600,80\r\nFilbertrudder-Model: m\r\n"
                + "Filbertrudder-Prompt-Prefix: "
                + id.substring("cut-".length())
                + "a:600\r\n";
    }

    /** Holds what a caller has received, and whether it is complete by its framing. */
    private record Received(int status, String body, boolean complete) {

        static Received of(String bytes) {
            Matcher response = RESPONSE.matcher(bytes);
            if (!response.matches()) {
                return new Received(0, bytes, false);
            }
            int status = Integer.parseInt(response.group(1));
            String body = response.group(2);
            Matcher length = LENGTH.matcher(bytes);
            if (length.find()) {
                boolean complete = body.length() == Integer.parseInt(length.group(1));
                return new Received(status, body, complete);
            }
            return new Received(status, withoutChunks(body), body.endsWith(END_OF_CHUNKS));
        }

        private static String withoutChunks(String body) {
            return body.replaceAll("(?m)^[0-9a-f]+\r\n", "").replace("\r\n", "");
        }

        private boolean isSuccess() {
            return status >= 200 && status < 300;
        }

        private boolean isWhole(Kind kind) {
            return isSuccess() && complete && body.equals(kind.mBody);
        }
    }

    /** Cuts the first response to each request, and serves repeats and health checks. */
    private final class Connection {

        private final NetSocket mSocket;
        private final RawRequestReader mRequests = new RawRequestReader();

        Connection(NetSocket socket) {
            mSocket = socket;
            socket.exceptionHandler(ignored -> {});
            socket.handler(bytes -> receive(bytes));
        }

        private void receive(Buffer bytes) {
            mRequests.add(bytes).ifPresent(this::answer);
        }

        private void answer(String request) {
            Optional<String> id = RawRequestReader.requestId(request);
            if (id.isEmpty()) {
                mSocket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            Kind kind = kindOf(request);
            boolean repeated = mRuns.merge(id.get(), 1, Integer::sum) > 1;
            Cut cut = repeated ? Cut.NONE : mCut;
            String response = responseOf(kind, cut.framing());
            if (cut.length() < 0) {
                mSocket.write(response.replace("ID", id.get()));
                return;
            }
            // The cut counts from the start of the response without the id.
            mSocket.write(response.substring(0, cut.length()).replace("ID", id.get()))
                    .onComplete(done -> end(cut.reset()));
        }

        private static Kind kindOf(String request) {
            for (Kind kind : Kind.values()) {
                if (request.startsWith("POST " + kind.mPath)) {
                    return kind;
                }
            }
            throw new IllegalArgumentException(request);
        }

        private void end(boolean reset) {
            if (reset) {
                ((NetSocketInternal) mSocket)
                        .channelHandlerContext()
                        .channel()
                        .config()
                        .setOption(ChannelOption.SO_LINGER, 0);
            }
            mSocket.close();
        }
    }
}
