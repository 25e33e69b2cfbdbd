package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.filbertrudder.gateway.config.KeyDigests;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.peer.MessageCodec;
import org.filbertrudder.policy.membership.PeerAddress;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that headers of callers and endpoints pass through unchanged, also through an instance in
 * another region, whatever names they have.
 */
public class ForwardedHeadersTest {

    private static final int READ_TIMEOUT_MS = 10_000;

    /** The protocol version of the release that sent its own words among the headers. */
    private static final int EARLIER_VERSION = 2;

    private static final List<String> GATEWAYS = List.of("mtl-1", "sag-1");
    private static final List<String> PATHS =
            List.of("/book/x", "/stock/x", "/chat/x", "/digest/x");
    private static final String HEAD_END = "\r\n\r\n";
    private static final String BODY = "the whole body";
    private static final int EVENTS = 5;

    private final Map<String, List<String>> mRunsById = new ConcurrentHashMap<>();
    private Vertx mVertx;
    private PlatformFleet mFleet;
    private volatile String mResponseHeader = "";
    private int mNextId;

    @BeforeClass
    public void startFleet() {
        mVertx = Vertx.vertx();
        mFleet = new PlatformFleet("mtl", "sag");
        mFleet.writeConfiguration(true);
        RawReplicas.start(mVertx, mFleet, new NetServerOptions(), this::serve);
        for (String gateway : GATEWAYS) {
            for (String path : PATHS) {
                PlatformFleet.await(
                        path + " is served at " + gateway,
                        () -> send(gateway, path, newId(), "").startsWith("HTTP/1.1 200"));
            }
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
        socket.handler(bytes -> requests.add(bytes).ifPresent(text -> answer(socket, text)));
    }

    private void answer(NetSocket socket, String request) {
        Optional<String> id = RawRequestReader.requestId(request);
        if (id.isEmpty()) {
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        mRunsById.computeIfAbsent(id.get(), each -> new ArrayList<>()).add(request);
        boolean isStream = request.startsWith("POST /chat") || request.startsWith("POST /digest");
        int lastEventId = headerOf(request, "last-event-id").map(Integer::parseInt).orElse(0);
        String body = isStream ? events(lastEventId) : BODY;
        socket.write(
                "HTTP/1.1 200 OK\r\nFilbertrudder-Attempt-Id: "
                        + id.get()
                        + "\r\nFilbertrudder-Server-Stamp: s.1.2\r\nContent-Type: "
                        + (isStream ? "text/event-stream" : "text/plain")
                        + "\r\n"
                        + mResponseHeader
                        + "Content-Length: "
                        + body.length()
                        + HEAD_END
                        + body);
    }

    private static String events(int lastEventId) {
        StringBuilder events = new StringBuilder();
        for (int id = lastEventId + 1; id <= EVENTS; id++) {
            events.append("id: ").append(id).append("\ndata: piece ").append(id).append("\n\n");
        }
        return events.toString();
    }

    private static String wholeBody(String path) {
        return path.startsWith("/chat") || path.startsWith("/digest") ? events(0) : BODY;
    }

    /** Returns the values of all lines with a name, joined by commas. */
    private static Optional<String> headerOf(String message, String name) {
        String values =
                message.substring(0, message.indexOf(HEAD_END))
                        .lines()
                        .filter(line -> line.toLowerCase().startsWith(name.toLowerCase() + ":"))
                        .map(line -> line.substring(line.indexOf(':') + 1).trim())
                        .collect(Collectors.joining(", "));
        return values.isEmpty() ? Optional.empty() : Optional.of(values);
    }

    private String newId() {
        mNextId++;
        return "id-" + mNextId;
    }

    /** Sends a request and returns all that arrives until the end of the connection. */
    private String send(String gateway, String path, String id, String addedHeader) {
        PeerAddress address = mFleet.settings(gateway).callerAddress();
        boolean isPrompt = path.startsWith("/chat") || path.startsWith("/digest");
        String head =
                "POST %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n"
                                .formatted(path, PlatformFleet.HOST)
                        + "Authorization: Bearer key-club\r\nFilbertrudder-Deadline-Ms: 6000\r\n"
                        + "Filbertrudder-Attempt-Id: "
                        + id
                        + "\r\n"
                        + (isPrompt ? promptHeaders() : "")
                        + addedHeader
                        + "Content-Length: 0\r\n\r\n";
        try (Socket socket = new Socket(address.host(), address.port())) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new AssertionError("The response did not end", e);
        }
    }

    private static String promptHeaders() {
        return "Filbertrudder-Token-Usage: 600,80\r\nFilbertrudder-Model: m\r\n"
                + "Filbertrudder-Prompt-Prefix: a:600\r\n";
    }

    /** Lists instances, routes and headers of a caller's own. */
    @DataProvider
    public Object[][] callerHeaders() {
        return combinations(
                "X-Resume-After: 3",
                "x-RESUME-after: three",
                "X-Resume-After: 3\r\nX-Resume-After: 4",
                "X-Forward-Service: other",
                "X-Resume-Offset: 2");
    }

    /** Lists instances, routes and headers of an endpoint's own. */
    @DataProvider
    public Object[][] endpointHeaders() {
        return combinations(
                "X-Not-Run: 0",
                "x-own-ANSWER: unavailable",
                "X-Retry-After-Ms: 5000",
                "X-Own-Answer: a\r\nX-Not-Run: 1\r\nX-Retry-After-Ms: 700");
    }

    private static Object[][] combinations(String... headers) {
        List<Object[]> cases = new ArrayList<>();
        for (String gateway : GATEWAYS) {
            for (String path : PATHS) {
                for (String header : headers) {
                    cases.add(new Object[] {gateway, path, header});
                }
            }
        }
        return cases.toArray(Object[][]::new);
    }

    /** Guards against forwarded streams that lack the events before a number a caller has sent. */
    @Test(dataProvider = "callerHeaders")
    public void callerHeaderIsTakenForAnInstancesOwn(String gateway, String path, String header) {
        String id = newId();

        String response = send(gateway, path, id, header + "\r\n");

        assertEquals(statusOf(response), 200, response);
        assertEquals(bodyOf(response), wholeBody(path));
        assertEquals(mRunsById.get(id).size(), 1);
        String request = mRunsById.get(id).get(0);
        String name = header.substring(0, header.indexOf(':'));
        assertEquals(headerOf(request, name), headerOf(header + HEAD_END, name));
        assertEquals(headerOf(request, "last-event-id"), Optional.empty());
    }

    /** Guards against forwarded bookings that run twice or are refused though they have run. */
    @Test(dataProvider = "endpointHeaders")
    public void endpointHeaderIsTakenForARefusal(String gateway, String path, String header) {
        String id = newId();
        mResponseHeader = header + "\r\n";
        String response;
        try {
            response = send(gateway, path, id, "");
        } finally {
            mResponseHeader = "";
        }

        assertEquals(statusOf(response), 200, response);
        assertEquals(bodyOf(response), wholeBody(path));
        assertEquals(mRunsById.get(id).size(), 1);
        for (String line : header.split("\r\n")) {
            String name = line.substring(0, line.indexOf(':'));
            assertEquals(headerOf(response, name), headerOf(line + HEAD_END, name), response);
        }
    }

    private static int statusOf(String response) {
        return Integer.parseInt(response.split(" ", 3)[1]);
    }

    private static String bodyOf(String response) {
        String body = response.substring(response.indexOf(HEAD_END) + HEAD_END.length());
        boolean isChunked = headerOf(response, "transfer-encoding").isPresent();
        return isChunked ? body.replaceAll("(?m)^[0-9a-f]+\r\n", "").replace("\r\n", "") : body;
    }

    /**
     * Lists routes, the position that an earlier release states, and the event that comes first.
     */
    @DataProvider
    public Object[][] earlierPositions() {
        return new Object[][] {
            {"/digest/x", "3", 4},
            {"/digest/x", "three", 1},
            // Streams of this route are not resumed, so the header is the caller's.
            {"/chat/x", "3", 1},
        };
    }

    /** Guards against streams that are cut or begin again while a release is replaced. */
    @Test(dataProvider = "earlierPositions")
    public void positionOfAnEarlierReleaseIsMisread(String path, String position, int firstEvent)
            throws IOException {
        String id = newId();
        try (EarlierInstance sender = new EarlierInstance()) {
            sender.forward(1, id, path, Map.of("x-resume-after", position));

            PeerMessage.ForwardHead head = (PeerMessage.ForwardHead) sender.receive();
            PeerMessage.ForwardData data = (PeerMessage.ForwardData) sender.receive();

            assertEquals(head.status(), 200);
            String events = new String(data.data(), StandardCharsets.UTF_8);
            assertEquals(events.split("\n")[0], "id: " + firstEvent);
        }
        Optional<String> passed = headerOf(mRunsById.get(id).get(0), "x-resume-after");
        assertEquals(passed, firstEvent > 1 ? Optional.empty() : Optional.of(position));
    }

    /** Guards against bookings that an earlier release sends again as it reads a refusal. */
    @Test
    public void earlierReleaseReadsAnEndpointsHeaderAsARefusal() throws IOException {
        mResponseHeader = "X-Not-Run: 0\r\nX-Own-Answer: a\r\nX-Retry-After-Ms: 5\r\nX-Else: 1\r\n";
        try (EarlierInstance sender = new EarlierInstance()) {
            sender.forward(1, newId(), "/book/x", Map.of());

            PeerMessage.ForwardHead head = (PeerMessage.ForwardHead) sender.receive();

            assertEquals(head.status(), 200);
            assertEquals(head.headers().get("x-else"), "1");
            assertEquals(head.headers().get("x-not-run"), null);
            assertEquals(head.headers().get("x-own-answer"), null);
            assertEquals(head.headers().get("x-retry-after-ms"), null);
        } finally {
            mResponseHeader = "";
        }
    }

    /** Guards against refusals that an earlier release passes on as the response of an endpoint. */
    @Test
    public void earlierReleaseMissesARefusal() throws IOException {
        try (EarlierInstance sender = new EarlierInstance()) {
            sender.forward(1, newId(), "/unknown/x", Map.of());

            PeerMessage.ForwardHead head = (PeerMessage.ForwardHead) sender.receive();

            assertEquals(head.status(), 503);
            assertEquals(head.headers().get("x-not-run"), "1");
            assertEquals(head.headers().get("x-own-answer"), "state_outdated");
        }
    }

    /** Forwards requests to an instance in the way of an earlier release. */
    private final class EarlierInstance implements AutoCloseable {

        private final Socket mSocket;

        EarlierInstance() throws IOException {
            mSocket = new Socket("127.0.0.1", mFleet.settings("mtl-1").forwardPort());
            mSocket.setSoTimeout(READ_TIMEOUT_MS);
            Member self =
                    new Member(
                            InstanceId.of("sag-2"),
                            1,
                            RegionId.of("sag"),
                            FailureDomainId.of("sag-a"),
                            "127.0.0.1",
                            1,
                            1,
                            1,
                            MemberState.LIVE);
            send(new PeerMessage.Hello(EARLIER_VERSION, self));
            receive();
        }

        private void send(PeerMessage message) throws IOException {
            mSocket.getOutputStream().write(MessageCodec.encode(message).getBytes());
        }

        void forward(long stream, String id, String path, Map<String, String> addedHeaders)
                throws IOException {
            Map<String, String> headers = new HashMap<>();
            headers.put("host", PlatformFleet.HOST);
            headers.put("filbertrudder-attempt-id", id);
            headers.putAll(addedHeaders);
            send(
                    new PeerMessage.ForwardStart(
                            stream,
                            id,
                            AccountId.of("club"),
                            KeyDigests.of("key-club"),
                            1,
                            RegionId.of("sag"),
                            "POST",
                            path,
                            headers,
                            new byte[0],
                            4_000,
                            null,
                            null));
        }

        PeerMessage receive() throws IOException {
            DataInputStream input = new DataInputStream(mSocket.getInputStream());
            PeerMessage message;
            do {
                message = MessageCodec.decode(Buffer.buffer(input.readNBytes(input.readInt())));
            } while (message instanceof PeerMessage.ForwardKeepAlive);
            return message;
        }

        @Override
        public void close() throws IOException {
            mSocket.close();
        }
    }
}
