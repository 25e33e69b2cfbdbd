package org.filbertrudder.scenarios.platform;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.filbertrudder.gateway.config.KeyDigests;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.ProtocolVersions;
import org.filbertrudder.peer.MessageCodec;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what an instance of another region gets for the requests that it forwards. */
public class ForwardedRequestTest {

    private static final String REPLICA = "desk-mtl-1";
    private static final int TIMEOUT_MS = 20_000;

    /** The number of forwarded requests, whose responses are longer than the receive buffer. */
    private static final int STREAMS = 60;

    private static final int RECEIVE_BUFFER_BYTES = 4_096;

    /** So many that hardly all would run at one of two services by chance. */
    private static final int DIVIDED_REQUESTS = 20;

    /** When a stop accepts no request any more, and 2 s more, in milliseconds. */
    private static final long UNREAD_MS = 4_500;

    private PlatformFleet mFleet;
    private Socket mPeer;

    @BeforeMethod
    public void startInstance() throws IOException {
        mFleet = new PlatformFleet("mtl", "sag");
        mFleet.writeConfiguration(true);
        mFleet.startReplica(REPLICA, PlatformFleet.BOOKING_SERVICE, "mtl", STREAMS);
        mFleet.startGateway("mtl-1", "mtl");
        mPeer = new Socket();
        mPeer.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        mPeer.connect(new InetSocketAddress("127.0.0.1", mFleet.settings("mtl-1").forwardPort()));
        mPeer.setSoTimeout(TIMEOUT_MS);
        Member sender =
                new Member(
                        InstanceId.of("sag-1"),
                        1,
                        RegionId.of("sag"),
                        FailureDomainId.of("sag-a"),
                        "127.0.0.1",
                        1,
                        1,
                        1,
                        MemberState.LIVE);
        send(new PeerMessage.Hello(ProtocolVersions.NEWEST_SUPPORTED, sender));
        PeerMessage.Hello hello = (PeerMessage.Hello) receive();
        assertEquals(hello.sender().id(), InstanceId.of("mtl-1"));
    }

    @AfterMethod(alwaysRun = true)
    public void stopInstance() throws IOException {
        mPeer.close();
        mFleet.close();
    }

    private void send(PeerMessage message) throws IOException {
        mPeer.getOutputStream().write(MessageCodec.encode(message).getBytes());
    }

    private void forward(long stream, String id, Map<String, String> addedHeaders)
            throws IOException {
        send(start(stream, id, "/stock/x", addedHeaders));
    }

    private static PeerMessage.ForwardStart start(
            long stream, String id, String uri, Map<String, String> addedHeaders) {
        Map<String, String> headers = new HashMap<>();
        headers.put("host", PlatformFleet.HOST);
        headers.put("filbertrudder-attempt-id", id);
        headers.putAll(addedHeaders);
        return new PeerMessage.ForwardStart(
                stream,
                id,
                AccountId.of("club"),
                KeyDigests.of("key-club"),
                1,
                RegionId.of("sag"),
                "GET",
                uri,
                headers,
                new byte[0],
                4_000,
                null,
                null);
    }

    /** Lists the sender's version and its service, and where the request runs then. */
    @DataProvider
    public Object[][] chosenServices() {
        return new Object[][] {
            {99, PlatformFleet.MODEL_SERVICE, "pool-mtl-1"},
            {99, PlatformFleet.BOOKING_SERVICE, REPLICA},
            // The own configuration is as new as the sender's.
            {1, PlatformFleet.MODEL_SERVICE, REPLICA},
            {99, "unknown", "503"},
        };
    }

    /** Guards against requests of a newer version that run where only an older one allows. */
    @Test(dataProvider = "chosenServices")
    public void requestOfANewerVersionIsRoutedByAnOlderOne(
            long version, String service, String expected) throws IOException {
        mFleet.startReplica("pool-mtl-1", PlatformFleet.MODEL_SERVICE, "mtl", STREAMS);
        PlatformFleet.await(
                "the new replica is used",
                () ->
                        mFleet.callerClient("mtl-1")
                                        .sendStream("/digest/x", "key-club", "subject")
                                        .status()
                                == 200);
        PeerMessage.ForwardStart like = start(7, "moved", "/stock/x", Map.of());

        send(
                new PeerMessage.ForwardStart(
                        like.stream(),
                        like.requestId(),
                        like.account(),
                        like.key(),
                        version,
                        like.origin(),
                        like.method(),
                        like.uri(),
                        like.headers(),
                        like.body(),
                        like.deadlineMs(),
                        ServiceId.of(service),
                        null));

        PeerMessage.ForwardHead head = (PeerMessage.ForwardHead) receive();
        String ranAt =
                Stream.of(REPLICA, "pool-mtl-1")
                        .filter(replica -> mFleet.replica(replica).executionCount("moved") > 0)
                        .findFirst()
                        .orElse(Integer.toString(head.status()));
        assertEquals(ranAt, expected);
    }

    /** Guards against streams of one service that are resumed at another one. */
    @Test
    public void forwardRunsAtAnotherServiceOfItsRouteThanItsSenderHasChosen() throws IOException {
        mFleet.startReplica("pool-mtl-1", PlatformFleet.MODEL_SERVICE, "mtl", STREAMS);
        mFleet.dividedRoutes().add("/both/");
        long version = mFleet.writeConfiguration(true);
        PlatformFleet.await(
                "the divided route is in force",
                () ->
                        mFleet.callerClient("mtl-1")
                                        .sendPlain("GET", "/both/x", "key-club")
                                        .status()
                                == 200);
        Set<String> ranElsewhere = new TreeSet<>();

        for (int i = 0; i < DIVIDED_REQUESTS; i++) {
            String id = "divided-" + i;
            PeerMessage.ForwardStart start = start(i + 1, id, "/both/x", Map.of());
            send(
                    new PeerMessage.ForwardStart(
                            start.stream(),
                            start.requestId(),
                            start.account(),
                            start.key(),
                            version,
                            start.origin(),
                            start.method(),
                            start.uri(),
                            start.headers(),
                            start.body(),
                            start.deadlineMs(),
                            ServiceId.of(PlatformFleet.MODEL_SERVICE),
                            null));
            PeerMessage message;
            do {
                message = receive();
            } while (!(message instanceof PeerMessage.ForwardEnd));
            if (mFleet.replica(REPLICA).executionCount(id) > 0) {
                ranElsewhere.add(id);
            }
        }

        assertEquals(ranElsewhere, Set.of());
    }

    /** Returns the next message that is no keep-alive. */
    private PeerMessage receive() throws IOException {
        DataInputStream input = new DataInputStream(mPeer.getInputStream());
        PeerMessage message;
        do {
            message = MessageCodec.decode(Buffer.buffer(input.readNBytes(input.readInt())));
        } while (message instanceof PeerMessage.ForwardKeepAlive);
        return message;
    }

    private List<PeerMessage> receiveToEnd() throws IOException {
        List<PeerMessage> received = new ArrayList<>();
        try {
            while (true) {
                received.add(receive());
            }
        } catch (EOFException e) {
            return received;
        }
    }

    @Test
    public void stopLosesForwardedResponsesThatAreReadLate() throws Exception {
        for (int stream = 1; stream <= STREAMS; stream++) {
            forward(stream, "late-reader-" + stream, Map.of());
        }
        awaitExecuted("late-reader-", STREAMS);

        CompletableFuture<Void> stopped = mFleet.stopGateway("mtl-1");
        long readNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(UNREAD_MS);
        PlatformFleet.await(
                "the instance has stopped or the peer reads",
                () -> stopped.isDone() || System.nanoTime() >= readNs);
        send(new PeerMessage.ForwardCredit(1, 0));
        List<PeerMessage> received = receiveToEnd();

        for (int stream = 1; stream <= STREAMS; stream++) {
            assertTrue(
                    received.contains(new PeerMessage.ForwardEnd(stream, true)),
                    "stream " + stream);
        }
        mPeer.close();
        stopped.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void awaitExecuted(String idPrefix, int requests) {
        PlatformFleet.await(
                "the requests have run",
                () ->
                        IntStream.rangeClosed(1, requests)
                                .allMatch(
                                        i ->
                                                mFleet.replica(REPLICA).executionCount(idPrefix + i)
                                                        == 1));
    }

    @Test
    public void stopOutlastsItsGraceForAPeerThatDoesNotRead() throws Exception {
        forward(1, "no-reader-1", Map.of());
        awaitExecuted("no-reader-", 1);

        mFleet.stopGateway("mtl-1").get(8, TimeUnit.SECONDS);
    }

    /** Lists headers that make a forwarded request malformed. */
    @DataProvider
    public Object[][] malformedHeaders() {
        return new Object[][] {
            {"host", ""},
            {"filbertrudder-token-usage", "many"},
            {"last-event-id", "-1"},
        };
    }

    @Test(dataProvider = "malformedHeaders")
    public void malformedHeaderClosesTheConnection(String name, String value) throws Exception {
        forward(1, "malformed", Map.of(name, value));

        PeerMessage.ForwardHead refusal = (PeerMessage.ForwardHead) receive();
        assertEquals(refusal.stream(), 1);
        assertEquals(refusal.status(), 400);
        assertTrue(refusal.refusal().notRun());
        assertEquals(receive(), new PeerMessage.ForwardEnd(1, true));
        assertEquals(mFleet.replica(REPLICA).executionCount("malformed"), 0);

        forward(2, "well-formed", Map.of());
        assertEquals(((PeerMessage.ForwardHead) receive()).status(), 200);
    }

    /** Guards against streams that go on at a position which no stream has. */
    @Test
    public void negativePositionIsTakenForTheStartOfTheStream() throws Exception {
        PeerMessage.ForwardStart like = start(1, "malformed", "/stock/x", Map.of());
        send(
                new PeerMessage.ForwardStart(
                        like.stream(),
                        like.requestId(),
                        like.account(),
                        like.key(),
                        like.revision(),
                        like.origin(),
                        like.method(),
                        like.uri(),
                        like.headers(),
                        like.body(),
                        like.deadlineMs(),
                        null,
                        -1L));

        PeerMessage.ForwardHead refusal = (PeerMessage.ForwardHead) receive();
        assertEquals(refusal.status(), 400);
        assertTrue(refusal.refusal().notRun());
        assertEquals(receive(), new PeerMessage.ForwardEnd(1, true));
        assertEquals(mFleet.replica(REPLICA).executionCount("malformed"), 0);

        forward(2, "well-formed", Map.of());
        assertEquals(((PeerMessage.ForwardHead) receive()).status(), 200);
    }

    /** Lists URIs and altered fields of forwarded requests, and the status of the refusal. */
    @DataProvider
    public Object[][] malformedFields() {
        return new Object[][] {
            {null, "", "", 500}, {"/stock/x", "club", "c ub", 400}, {"/stock/x", "sag", "s g", 400},
        };
    }

    @Test(dataProvider = "malformedFields")
    public void malformedFieldClosesTheConnection(
            String uri, String text, String replacement, int status) throws Exception {
        byte[] frame = MessageCodec.encode(start(1, "malformed", uri, Map.of())).getBytes();
        String altered = new String(frame, ISO_8859_1).replace(text, replacement);
        mPeer.getOutputStream().write(altered.getBytes(ISO_8859_1));

        PeerMessage.ForwardHead refusal = (PeerMessage.ForwardHead) receive();
        assertEquals(refusal.stream(), 1);
        assertEquals(refusal.status(), status);
        assertTrue(refusal.refusal().notRun());
        assertEquals(receive(), new PeerMessage.ForwardEnd(1, true));
        assertEquals(mFleet.replica(REPLICA).executionCount("malformed"), 0);

        forward(2, "well-formed", Map.of());
        assertEquals(((PeerMessage.ForwardHead) receive()).status(), 200);
    }
}
