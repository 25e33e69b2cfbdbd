package org.filbertrudder.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.membership.OutboundMessage;
import org.filbertrudder.policy.membership.PeerAddress;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests peer connections over real sockets. */
public class PeerNetworkTest {

    private static final PeerMessage MESSAGE = new PeerMessage.ForwardCancel(42);
    private static final long RECEIVE_TIMEOUT_SECONDS = 10;
    private static final long CLOSE_TIMEOUT_SECONDS = 2;

    private final BlockingQueue<PeerMessage> mReceived = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> mProtocolErrors = new LinkedBlockingQueue<>();
    private Vertx mVertx;

    @BeforeMethod
    public void startVertx() {
        mVertx = Vertx.vertx();
        mReceived.clear();
        mProtocolErrors.clear();
    }

    @AfterMethod
    public void closeVertx() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private static Member member(String id) {
        return new Member(
                InstanceId.of(id),
                1,
                RegionId.of("mtl"),
                FailureDomainId.of("a"),
                "127.0.0.1",
                1,
                1,
                1,
                MemberState.LIVE);
    }

    private PeerNetwork createNetwork(String id, PeerSecurity security) {
        return new PeerNetwork(
                mVertx,
                mVertx.getOrCreateContext(),
                security,
                () -> member(id),
                (connection, message) -> {
                    if (!(message instanceof PeerMessage.Hello)) {
                        mReceived.add(message);
                    }
                },
                mProtocolErrors::add);
    }

    private PeerAddress listen(PeerSecurity security) {
        int port = createNetwork("server", security).listen("127.0.0.1", 0).join();
        return new PeerAddress("127.0.0.1", port);
    }

    @Test
    public void deliversMessagesInPlainText() throws Exception {
        PeerAddress server = listen(PeerSecurity.plainText());

        createNetwork("client", PeerSecurity.plainText()).send(server, MESSAGE);

        assertEquals(mReceived.poll(RECEIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS), MESSAGE);
    }

    /** Lists the kinds of transport security. */
    @DataProvider
    public Object[][] securities() throws Exception {
        Certificates trusted = Certificates.create("trusted");
        return new Object[][] {
            {PeerSecurity.plainText()},
            {PeerSecurity.mutualTls(trusted.certificate(), trusted.key(), trusted.certificate())},
        };
    }

    @Test(dataProvider = "securities")
    public void deliversAMessageToEachOfSeveralPeers(PeerSecurity security) throws Exception {
        PeerAddress first = listen(security);
        PeerAddress second = listen(security);
        PeerNetwork client = createNetwork("client", security);
        PeerMessage other = new PeerMessage.ForwardCancel(43);

        client.send(List.of(), MESSAGE);
        client.send(List.of(first, second), MESSAGE);
        List<PeerMessage> received = receive(2);
        assertEquals(received, List.of(MESSAGE, MESSAGE));

        client.sendAll(
                List.of(
                        new OutboundMessage(first, MESSAGE),
                        new OutboundMessage(second, MESSAGE),
                        new OutboundMessage(first, other),
                        new OutboundMessage(first, MESSAGE)));
        received = receive(4);
        assertEquals(Collections.frequency(received, MESSAGE), 3);
        assertEquals(Collections.frequency(received, other), 1);
        assertEquals(client.counters().messagesSent(), 2 + 6);
    }

    /** Guards against members that are suspected as an open connection to them fell silent. */
    @Test
    public void messagesOnASilentConnectionAreLostForGood() throws Exception {
        PeerMessage request = new PeerMessage.Heartbeat(member("client"), 1, 1);
        SilentProxy proxy = new SilentProxy(mVertx, listen(PeerSecurity.plainText()).port());
        PeerAddress address = new PeerAddress("127.0.0.1", proxy.port());
        BlockingQueue<PeerMessage> greetings = new LinkedBlockingQueue<>();
        Context context = mVertx.getOrCreateContext();
        PeerNetwork client =
                new PeerNetwork(
                        mVertx,
                        context,
                        PeerSecurity.plainText(),
                        () -> member("client"),
                        (connection, message) -> greetings.add(message),
                        mProtocolErrors::add);
        context.runOnContext(ignored -> client.send(address, MESSAGE));
        assertEquals(receive(1), List.of(MESSAGE));
        greetings.poll(RECEIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        proxy.silenceOpenConnections();
        BlockingQueue<List<PeerAddress>> closed = new LinkedBlockingQueue<>();

        context.runOnContext(
                ignored -> {
                    client.send(address, request);
                    long nowMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
                    closed.add(client.closeSilent(nowMs + 500, 100, 100));
                    closed.add(client.closeSilent(nowMs + 5_000, 4_500, 100));
                    closed.add(client.closeSilent(nowMs + 5_800, 100, 100));
                    client.send(address, request);
                });

        assertEquals(closed.poll(RECEIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS), List.of(), "early");
        assertEquals(closed.poll(RECEIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS), List.of(), "held up");
        assertEquals(closed.poll(RECEIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS), List.of(address));
        assertEquals(receive(1), List.of(request));
    }

    private List<PeerMessage> receive(int count) throws InterruptedException {
        List<PeerMessage> messages = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            messages.add(mReceived.poll(RECEIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
        return messages;
    }

    /** Guards against a connection that stays open as its output cannot be flushed. */
    @Test
    public void connectionStaysOpenWhileItsPeerReadsNothing() throws Exception {
        NetServer deaf = mVertx.createNetServer().connectHandler(NetSocket::pause);
        int port =
                deaf.listen(0, "127.0.0.1")
                        .toCompletionStage()
                        .toCompletableFuture()
                        .join()
                        .actualPort();
        Context context = mVertx.getOrCreateContext();
        PeerNetwork client =
                new PeerNetwork(
                        mVertx,
                        context,
                        PeerSecurity.plainText(),
                        () -> member("client"),
                        (connection, message) -> {},
                        mProtocolErrors::add);
        BlockingQueue<String> events = new LinkedBlockingQueue<>();
        context.runOnContext(
                ignored ->
                        client.withConnection(
                                new PeerAddress("127.0.0.1", port),
                                connection -> {
                                    connection.onClose(() -> events.add("closed"));
                                    for (int i = 0; i < 32; i++) {
                                        connection.send(
                                                new PeerMessage.ForwardData(
                                                        1, new byte[1_000_000]));
                                    }
                                    connection.close();
                                }));

        assertEquals(events.poll(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS), "closed");
    }

    @Test
    public void deliversMessagesOverMutualTls() throws Exception {
        Certificates trusted = Certificates.create("trusted");
        PeerSecurity security =
                PeerSecurity.mutualTls(trusted.certificate(), trusted.key(), trusted.certificate());
        PeerAddress server = listen(security);

        createNetwork("client", security).send(server, MESSAGE);

        assertEquals(mReceived.poll(RECEIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS), MESSAGE);
    }

    @Test
    public void rejectsClientsWithoutACertificateOfTheAuthority() throws Exception {
        Certificates trusted = Certificates.create("trusted");
        Certificates untrusted = Certificates.create("untrusted");
        PeerAddress server =
                listen(
                        PeerSecurity.mutualTls(
                                trusted.certificate(), trusted.key(), trusted.certificate()));
        PeerNetwork client =
                createNetwork(
                        "client",
                        PeerSecurity.mutualTls(
                                untrusted.certificate(), untrusted.key(), trusted.certificate()));

        client.send(server, MESSAGE);
        createNetwork("plain", PeerSecurity.plainText()).send(server, MESSAGE);

        assertNull(mReceived.poll(2, TimeUnit.SECONDS));
    }

    @DataProvider
    public Object[][] protocolErrors() {
        Buffer hello = MessageCodec.encode(new PeerMessage.Hello(99_999, member("x")));
        return new Object[][] {
            {"a frame above the maximum length", Buffer.buffer().appendInt(Integer.MAX_VALUE)},
            {"a negative length", Buffer.buffer().appendInt(-1)},
            {"a body that is not MessagePack", Buffer.buffer().appendInt(3).appendString("abc")},
            {"a message before the hello", MessageCodec.encode(MESSAGE)},
            {"an unsupported version", MessageCodec.encode(new PeerMessage.Hello(0, member("x")))},
            {"a hello without sender", MessageCodec.encode(new PeerMessage.Hello(1, null))},
            {"garbage after a hello", hello.copy().appendInt(2).appendString("zz")},
        };
    }

    @Test(dataProvider = "protocolErrors")
    public void protocolErrorClosesOnlyItsConnection(String description, Buffer bytes)
            throws Exception {
        PeerAddress server = listen(PeerSecurity.plainText());
        BlockingQueue<String> closed = new LinkedBlockingQueue<>();
        mVertx.createNetClient()
                .connect(server.port(), server.host())
                .onSuccess(
                        socket -> {
                            socket.closeHandler(done -> closed.add("closed"));
                            socket.write(bytes);
                        });

        assertEquals(closed.poll(RECEIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS), "closed", description);
        assertTrue(
                mProtocolErrors.poll(RECEIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS) != null,
                description);
        createNetwork("client", PeerSecurity.plainText()).send(server, MESSAGE);
        assertEquals(mReceived.poll(RECEIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS), MESSAGE);
    }

    @Test
    public void handlerFailureClosesOnlyItsConnection() throws Exception {
        PeerNetwork server =
                new PeerNetwork(
                        mVertx,
                        mVertx.getOrCreateContext(),
                        PeerSecurity.plainText(),
                        () -> member("server"),
                        (connection, message) -> {
                            if (message instanceof PeerMessage.ChangesRequest) {
                                throw new IllegalStateException("no such revision");
                            }
                            mReceived.add(message);
                        },
                        mProtocolErrors::add);
        PeerAddress address = new PeerAddress("127.0.0.1", server.listen("127.0.0.1", 0).join());
        PeerNetwork client = createNetwork("client", PeerSecurity.plainText());

        client.send(address, new PeerMessage.ChangesRequest(-7));

        String protocolError = mProtocolErrors.poll(RECEIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertTrue(protocolError.contains("no such revision"), protocolError);
        assertEquals(server.counters().rejectedConnections(), 1);
        createNetwork("other", PeerSecurity.plainText()).send(address, MESSAGE);
        assertTrue(mReceived.poll(RECEIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS) != null);
    }

    @Test
    public void unregisteredCloseActionsAreRemoved() throws Exception {
        PeerAddress server = listen(PeerSecurity.plainText());
        PeerNetwork client = createNetwork("client", PeerSecurity.plainText());
        BlockingQueue<Integer> actions = new LinkedBlockingQueue<>();

        client.withConnection(
                server,
                connection -> {
                    int initialCount = connection.closeActionCount();
                    for (int i = 0; i < 1_000; i++) {
                        connection.onClose(() -> {}).unregister();
                    }
                    actions.add(connection.closeActionCount() - initialCount);
                });

        assertEquals(actions.poll(RECEIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS), Integer.valueOf(0));
    }
}
