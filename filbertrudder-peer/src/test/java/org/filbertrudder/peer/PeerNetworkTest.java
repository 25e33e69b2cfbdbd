package org.filbertrudder.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.membership.PeerAddress;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests connections between instances over real sockets. */
public class PeerNetworkTest {

    private static final PeerMessage MESSAGE = new PeerMessage.ForwardCancel(42);
    private static final long ARRIVAL_SECONDS = 10;

    private final BlockingQueue<PeerMessage> mReceived = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> mViolations = new LinkedBlockingQueue<>();
    private Vertx mVertx;

    @BeforeMethod
    public void startLoops() {
        mVertx = Vertx.vertx();
        mReceived.clear();
        mViolations.clear();
    }

    @AfterMethod
    public void stopLoops() {
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

    private PeerNetwork network(String id, PeerSecurity security) {
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
                mViolations::add);
    }

    private PeerAddress listen(PeerSecurity security) {
        int port = network("server", security).listen("127.0.0.1", 0).join();
        return new PeerAddress("127.0.0.1", port);
    }

    @Test
    public void deliversMessagesInPlainTextOnLoopback() throws Exception {
        PeerAddress server = listen(PeerSecurity.plain());

        network("client", PeerSecurity.plain()).send(server, MESSAGE);

        assertEquals(mReceived.poll(ARRIVAL_SECONDS, TimeUnit.SECONDS), MESSAGE);
    }

    @Test
    public void deliversMessagesOfMembersOverMutualTls() throws Exception {
        Certificates fleet = Certificates.create("fleet");
        PeerSecurity security =
                PeerSecurity.mutualTls(fleet.certificate(), fleet.key(), fleet.certificate());
        PeerAddress server = listen(security);

        network("client", security).send(server, MESSAGE);

        assertEquals(mReceived.poll(ARRIVAL_SECONDS, TimeUnit.SECONDS), MESSAGE);
    }

    @Test
    public void rejectsACertificateThatTheAuthorityHasNotSigned() throws Exception {
        Certificates fleet = Certificates.create("fleet");
        Certificates stranger = Certificates.create("stranger");
        PeerAddress server =
                listen(
                        PeerSecurity.mutualTls(
                                fleet.certificate(), fleet.key(), fleet.certificate()));
        PeerNetwork client =
                network(
                        "client",
                        PeerSecurity.mutualTls(
                                stranger.certificate(), stranger.key(), fleet.certificate()));

        client.send(server, MESSAGE);
        network("plain", PeerSecurity.plain()).send(server, MESSAGE);

        assertNull(mReceived.poll(2, TimeUnit.SECONDS));
    }

    @DataProvider
    public Object[][] violations() {
        Buffer hello = MessageCodec.encode(new PeerMessage.Hello(99_999, member("x")));
        return new Object[][] {
            {"a frame that is too long", Buffer.buffer().appendInt(Integer.MAX_VALUE)},
            {"a negative length", Buffer.buffer().appendInt(-1)},
            {"no MessagePack", Buffer.buffer().appendInt(3).appendString("abc")},
            {"no greeting", MessageCodec.encode(MESSAGE)},
            {"an old version", MessageCodec.encode(new PeerMessage.Hello(0, member("x")))},
            {"a greeting without sender", MessageCodec.encode(new PeerMessage.Hello(1, null))},
            {"garbage after a greeting", hello.copy().appendInt(2).appendString("zz")},
        };
    }

    @Test(dataProvider = "violations")
    public void closesAConnectionThatBreaksTheProtocolAndServesOthers(String what, Buffer bytes)
            throws Exception {
        PeerAddress server = listen(PeerSecurity.plain());
        BlockingQueue<String> closed = new LinkedBlockingQueue<>();
        mVertx.createNetClient()
                .connect(server.port(), server.host())
                .onSuccess(
                        socket -> {
                            socket.closeHandler(done -> closed.add("closed"));
                            socket.write(bytes);
                        });

        assertEquals(closed.poll(ARRIVAL_SECONDS, TimeUnit.SECONDS), "closed", what);
        assertTrue(mViolations.poll(ARRIVAL_SECONDS, TimeUnit.SECONDS) != null, what);
        network("client", PeerSecurity.plain()).send(server, MESSAGE);
        assertEquals(mReceived.poll(ARRIVAL_SECONDS, TimeUnit.SECONDS), MESSAGE);
    }

    @Test
    public void closesAConnectionWhoseMessageCannotBeHandledAndServesOthers() throws Exception {
        PeerNetwork server =
                new PeerNetwork(
                        mVertx,
                        mVertx.getOrCreateContext(),
                        PeerSecurity.plain(),
                        () -> member("server"),
                        (connection, message) -> {
                            if (message instanceof PeerMessage.ChangesRequest) {
                                throw new IllegalStateException("no such revision");
                            }
                            mReceived.add(message);
                        },
                        mViolations::add);
        PeerAddress address = new PeerAddress("127.0.0.1", server.listen("127.0.0.1", 0).join());
        PeerNetwork client = network("client", PeerSecurity.plain());

        client.send(address, new PeerMessage.ChangesRequest(-7));

        String violation = mViolations.poll(ARRIVAL_SECONDS, TimeUnit.SECONDS);
        assertTrue(violation.contains("no such revision"), violation);
        assertEquals(server.counters().rejected(), 1);
        network("other", PeerSecurity.plain()).send(address, MESSAGE);
        assertTrue(mReceived.poll(ARRIVAL_SECONDS, TimeUnit.SECONDS) != null);
    }

    @Test
    public void keepsNothingOfCloseActionsThatHaveEnded() throws Exception {
        PeerAddress server = listen(PeerSecurity.plain());
        PeerNetwork client = network("client", PeerSecurity.plain());
        BlockingQueue<Integer> actions = new LinkedBlockingQueue<>();

        client.withConnection(
                server,
                connection -> {
                    int before = connection.closeActions();
                    for (int i = 0; i < 1_000; i++) {
                        connection.onClose(() -> {}).end();
                    }
                    actions.add(connection.closeActions() - before);
                });

        assertEquals(actions.poll(ARRIVAL_SECONDS, TimeUnit.SECONDS), Integer.valueOf(0));
    }
}
