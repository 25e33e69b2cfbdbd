package org.filbertrudder.scenarios;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.peer.PeerNetwork;
import org.filbertrudder.peer.PeerSecurity;
import org.filbertrudder.policy.membership.PeerAddress;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Sends instances messages that no instance in its senses would send. */
public class PeerPortTest {

    private static final int MESSAGES = 3_000;
    private static final int FORGED_STREAMS = 200;
    private static final int TOKENS = 200;

    private final Vertx mVertx = Vertx.vertx();
    private Fleet mFleet;

    @BeforeClass
    public void start() {
        Path logDirectory = Path.of("target", "scenario-logs", "peer-port");
        mFleet = Fleet.start(Deployment.BUREAU, 3, logDirectory);
        mFleet.awaitShardOwnership();
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        mFleet.close();
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private PeerNetwork stranger() {
        Member self =
                new Member(
                        InstanceId.of("stranger"),
                        1,
                        RegionId.of("nowhere"),
                        FailureDomainId.of("nowhere-a"),
                        "127.0.0.1",
                        1,
                        1,
                        1,
                        MemberState.DEAD);
        return new PeerNetwork(
                mVertx,
                mVertx.getOrCreateContext(),
                PeerSecurity.plain(),
                () -> self,
                (connection, message) -> {},
                violation -> {});
    }

    @DataProvider
    public Object[][] ports() {
        return new Object[][] {{"peers", 1L}, {"peers", 2L}, {"forwards", 3L}, {"forwards", 4L}};
    }

    @Test(dataProvider = "ports")
    public void oddMessagesHarmNothing(String port, long seed) {
        long revision = mFleet.revisionAt("mtl-1");
        PeerAddress address = new PeerAddress("127.0.0.1", forwardOrPeerPort("mtl-1", port));
        RandomMessages messages = new RandomMessages(seed);
        PeerNetwork stranger = stranger();

        for (int i = 0; i < MESSAGES; i++) {
            PeerMessage message = messages.next();
            stranger.send(address, message);
            if (i % 100 == 0) {
                awaitAnswer();
            }
        }

        awaitAnswer();
        for (String id : mFleet.instanceIds()) {
            assertTrue(mFleet.process(id).isRunning(), id);
            assertEquals(mFleet.revisionAt(id), revision, id);
        }
    }

    /** Checks that callers are served; also keeps the messages from queueing up. */
    private void awaitAnswer() {
        Reply reply = mFleet.chat("mtl-1", mFleet.apiKeyOf("youth"), "Hello", 1, false).join();
        assertEquals(reply.status(), 200, reply.body());
    }

    private int forwardOrPeerPort(String id, String port) {
        if (port.equals("peers")) {
            return mFleet.process(id).port("peers");
        }
        for (JsonNode member : mFleet.dump(id).path("control").path("members")) {
            if (member.path("id").asText().equals(id)) {
                return member.path("forwardPort").asInt();
            }
        }
        throw new AssertionError("no member " + id);
    }

    @Test
    public void answersOfAStrangerReachNoCaller() {
        String key = mFleet.apiKeyOf("youth");
        String expected = mFleet.chat("mtl-1", key, "Crossed", TOKENS, true).join().body();
        PeerAddress address = new PeerAddress("127.0.0.1", forwardOrPeerPort("gas-1", "forwards"));
        CompletableFuture<Reply> forwarded = mFleet.chat("gas-1", key, "Crossed", TOKENS, true);
        PeerNetwork stranger = stranger();

        while (!forwarded.isDone()) {
            for (long stream = 1; stream <= FORGED_STREAMS; stream++) {
                byte[] data = "data: forged\n\n".getBytes(StandardCharsets.UTF_8);
                stranger.send(address, new PeerMessage.ForwardHead(stream, 200, Map.of()));
                stranger.send(address, new PeerMessage.ForwardData(stream, data));
                stranger.send(address, new PeerMessage.ForwardEnd(stream, true));
            }
            Fleet.await("an answer of gas-1", 5_000, () -> mFleet.revisionAt("gas-1") > 0);
        }

        assertEquals(forwarded.join().body(), expected);
    }
}
