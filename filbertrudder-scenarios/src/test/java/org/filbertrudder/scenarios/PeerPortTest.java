package org.filbertrudder.scenarios;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
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

/**
 * Tests that invalid and forged messages on the peer ports affect neither instances nor callers.
 */
public class PeerPortTest {

    private static final int MESSAGE_COUNT = 3_000;
    private static final int FORGED_STREAM_COUNT = 200;
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

    private PeerNetwork createNonMemberSender() {
        Member nonMember =
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
                PeerSecurity.plainText(),
                () -> nonMember,
                (connection, message) -> {},
                ignored -> {});
    }

    @DataProvider
    public Object[][] portsAndSeeds() {
        return new Object[][] {{"peers", 1L}, {"peers", 2L}, {"forwards", 3L}, {"forwards", 4L}};
    }

    @Test(dataProvider = "portsAndSeeds")
    public void invalidMessagesDoNotAffectInstances(String portName, long seed) {
        long revision = mFleet.revisionAt("mtl-1");
        PeerAddress address = new PeerAddress("127.0.0.1", portOf("mtl-1", portName));
        RandomMessageGenerator messages = new RandomMessageGenerator(seed);
        PeerNetwork sender = createNonMemberSender();

        for (int i = 0; i < MESSAGE_COUNT; i++) {
            PeerMessage message = messages.next();
            sender.send(address, message);
            if (i % 100 == 0) {
                assertServesCallers();
            }
        }

        assertServesCallers();
        for (String id : mFleet.instanceIds()) {
            assertTrue(mFleet.process(id).isRunning(), id);
            assertEquals(mFleet.revisionAt(id), revision, id);
        }
    }

    /** Checks that callers are served; waiting for the reply also keeps messages from piling up. */
    private void assertServesCallers() {
        Reply reply = mFleet.sendChat("mtl-1", mFleet.apiKeyOf("youth"), "Hello", 1, false).join();
        assertEquals(reply.status(), 200, reply.body());
    }

    private int portOf(String id, String portName) {
        if (portName.equals("peers")) {
            return mFleet.process(id).port("peers");
        }
        for (JsonNode member : mFleet.dump(id).path("control").path("members")) {
            if (member.path("id").asText().equals(id)) {
                return member.path("forwardPort").asInt();
            }
        }
        throw new AssertionError("not a member: " + id);
    }

    /** Lists URIs and altered fields of forwarded requests, and the status of the refusal. */
    @DataProvider
    public Object[][] malformedForwards() {
        return new Object[][] {
            {"/services/b okings/x", "", "", 403},
            {"/services//x", "", "", 403},
            {"/services/bookings", "", "", 403},
            {null, "", "", 500},
            {"/services/bookings/bookings", "open", "o en", 400},
            {"/services/bookings/bookings", "gas", "g s", 400},
        };
    }

    @Test(dataProvider = "malformedForwards")
    public void malformedForwardClosesTheConnectionWithAllOthers(
            String uri, String text, String replacement, int status) throws Exception {
        mFleet.endpoints().setBookingBehaviour("{\"delayMs\":1000}");
        try (RawForwardConnection region = RawForwardConnection.open(portOf("mtl-1", "forwards"))) {
            String slot = "malformed-" + System.nanoTime();
            region.forward("/services/bookings/bookings", "{\"slot\":\"" + slot + "\"}");
            region.forwardAltered(uri, "{\"slot\":\"refused-" + slot + "\"}", text, replacement);

            PeerMessage.ForwardHead refusal = region.readHead();
            assertNotNull(refusal, "The connection was closed.");
            assertEquals(refusal.stream(), 2);
            assertEquals(refusal.status(), status);
            assertEquals(refusal.headers().get("x-not-run"), "true");
            PeerMessage.ForwardHead response = region.readHead();
            assertNotNull(response, "The connection was closed.");
            assertEquals(response.stream(), 1);
            assertEquals(response.status(), 201);
            assertEquals(mFleet.endpoints().bookingExecutions("refused-" + slot), 0);
        } finally {
            mFleet.endpoints().setBookingBehaviour("{}");
        }
    }

    @Test
    public void forgedForwardResponsesDoNotReachCallers() {
        String key = mFleet.apiKeyOf("youth");
        String expected = mFleet.sendChat("mtl-1", key, "Crossed", TOKENS, true).join().body();
        PeerAddress address = new PeerAddress("127.0.0.1", portOf("gas-1", "forwards"));
        CompletableFuture<Reply> forwarded = mFleet.sendChat("gas-1", key, "Crossed", TOKENS, true);
        PeerNetwork sender = createNonMemberSender();

        while (!forwarded.isDone()) {
            for (long stream = 1; stream <= FORGED_STREAM_COUNT; stream++) {
                byte[] data = "data: forged\n\n".getBytes(StandardCharsets.UTF_8);
                sender.send(address, new PeerMessage.ForwardHead(stream, 200, Map.of(), null));
                sender.send(address, new PeerMessage.ForwardData(stream, data));
                sender.send(address, new PeerMessage.ForwardEnd(stream, true));
            }
            Fleet.await("a state dump of gas-1", 5_000, () -> mFleet.revisionAt("gas-1") > 0);
        }

        assertEquals(forwarded.join().body(), expected);
    }
}
