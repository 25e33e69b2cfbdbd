package org.filbertrudder.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.management.ThreadMXBean;
import io.vertx.core.buffer.Buffer;
import java.lang.management.ManagementFactory;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.filbertrudder.model.Account;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Change;
import org.filbertrudder.model.Contract;
import org.filbertrudder.model.Edit;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.EntityKey;
import org.filbertrudder.model.EntityKind;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.AccountShareSnapshot;
import org.filbertrudder.model.message.CrashRecord;
import org.filbertrudder.model.message.ExchangeStep;
import org.filbertrudder.model.message.ForwardRecords;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PartEvidence;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.ShardOwner;
import org.filbertrudder.model.message.StartRecords;
import org.filbertrudder.model.message.SuspectedRestart;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that frames survive a round trip and that corrupted frames fail only as malformed. */
public class MessageCodecTest {

    private static final AccountId ACCOUNT = AccountId.of("club");
    private static final RegionId REGION = RegionId.of("mtl");
    private static final Member MEMBER =
            new Member(
                    InstanceId.of("mtl-1"),
                    7,
                    REGION,
                    FailureDomainId.of("mtl-a"),
                    "127.0.0.1",
                    1,
                    2,
                    3,
                    MemberState.LIVE);

    private static final ServiceId SERVICE = ServiceId.of("chat");
    private static final StartRecords.Request START_REQUEST =
            new StartRecords.Request(
                    1,
                    ACCOUNT,
                    2,
                    new StartRecords.Prompt(List.of(new StartRecords.Part("p", 700)), 700, 90),
                    List.of(REGION),
                    List.of(EndpointId.of("e")),
                    false,
                    10,
                    1_500,
                    1_400,
                    60_000,
                    -7);

    private static final PeerMessage SHARD_UPDATES =
            new PeerMessage.ShardUpdates(
                    List.of(new ShardOwner(REGION, 1, InstanceId.of("a"), 2, 3, true)));
    private static final PeerMessage REGION_ROOM =
            new PeerMessage.RegionRoom(REGION, SERVICE, 1_000, 2.5, 30);
    private static final PeerMessage START_REQUESTS =
            new PeerMessage.StartRequests(SERVICE, List.of(START_REQUEST));
    private static final PeerMessage START_DECISIONS =
            new PeerMessage.StartDecisions(
                    SERVICE,
                    List.of(
                            new StartRecords.Decision(
                                    1,
                                    StartRecords.Kind.START,
                                    EndpointId.of("e"),
                                    null,
                                    0,
                                    null,
                                    30,
                                    2,
                                    900)));
    private static final PeerMessage START_REPORT =
            new PeerMessage.StartReport(
                    SERVICE,
                    true,
                    List.of(
                            new StartRecords.Open(
                                    1, EndpointId.of("e"), START_REQUEST.prompt(), true, 50)),
                    List.of(2L),
                    List.of(new StartRecords.Ended(3, 40)),
                    List.of(4L),
                    List.of(),
                    List.of(new StartRecords.Statement(EndpointId.of("e"), 5, 6, 150)),
                    List.of(new StartRecords.Streams(EndpointId.of("e"), 9.5, 0)));

    private static final PeerMessage FORWARD_REFUSAL =
            new PeerMessage.ForwardHead(
                    1, 503, Map.of(), new ForwardRecords.Refusal("stopping", true, 500));

    private static final PeerMessage CRASH_RECORDS =
            new PeerMessage.CrashRecords(
                    ExchangeStep.REPLY,
                    true,
                    7,
                    List.of(
                            new CrashRecord(
                                    ACCOUNT,
                                    "digest",
                                    List.of(new CrashRecord.Crash(EndpointId.of("e"), 5)),
                                    List.of(new CrashRecord.Crash(EndpointId.of("f"), 6)),
                                    false,
                                    40,
                                    -1)));

    private static final PeerMessage SUSPECTED_RESTARTS =
            new PeerMessage.SuspectedRestarts(
                    List.of(
                            new SuspectedRestart(EndpointId.of("e"), 1, 5, 3),
                            new SuspectedRestart(EndpointId.of("f"), 2, 4, -1)));

    @DataProvider
    public Object[][] messages() {
        return new Object[][] {
            {new PeerMessage.Hello(1, MEMBER)},
            {new PeerMessage.Heartbeat(MEMBER, 5, 6)},
            {new PeerMessage.MemberUpdates(List.of(MEMBER))},
            {new PeerMessage.MembersRequest()},
            {
                new PeerMessage.ChangePush(
                        List.of(
                                new Change(
                                        3,
                                        "id",
                                        "operator",
                                        9,
                                        "digest",
                                        List.of(
                                                new Edit.Put(
                                                        new Account(
                                                                ACCOUNT,
                                                                Contract.of(1, 2),
                                                                null,
                                                                Map.of(REGION, 1.0))),
                                                new Edit.Remove(
                                                        EntityKey.of(EntityKind.KEY, "k1"))))))
            },
            {SHARD_UPDATES},
            {
                new PeerMessage.ShardHandover(
                        REGION, 1, 2, List.of(new AccountShareSnapshot(ACCOUNT, 1.5, 2, 3, 4)))
            },
            {new PeerMessage.ReserveRequest(1, ACCOUNT, 2, 3)},
            {new PeerMessage.ForwardHead(1, 200, Map.of("a", "b"), null)},
            {FORWARD_REFUSAL},
            {CRASH_RECORDS},
            {new PeerMessage.ForwardEnd(1, true)},
            {new PeerMessage.CrashReport(ACCOUNT, "digest", EndpointId.of("e"), 7, true)},
            {new PeerMessage.PartEvidenceDigest(7)},
            {START_REQUESTS},
            {START_DECISIONS},
            {START_REPORT},
            {REGION_ROOM},
            {SUSPECTED_RESTARTS},
            {
                new PeerMessage.PartEvidenceReport(
                        List.of(
                                new PartEvidence(
                                        "part",
                                        3,
                                        1,
                                        true,
                                        List.of(new PartEvidence.LostRequest(4, 3, 5)),
                                        500)),
                        true)
            },
        };
    }

    private static Buffer encodedBody(PeerMessage message) {
        Buffer frame = MessageCodec.encode(message);
        return frame.getBuffer(MessageCodec.HEADER_BYTES, frame.length());
    }

    @Test(dataProvider = "messages")
    public void decodesWhatItEncoded(PeerMessage message) {
        assertEquals(MessageCodec.decode(encodedBody(message)), message);
    }

    @Test(dataProvider = "messages")
    public void corruptedFramesDecodeOrAreReportedAsMalformed(PeerMessage message) {
        Random random = new Random(message.hashCode());
        for (int i = 0; i < 2_000; i++) {
            byte[] bytes = encodedBody(message).getBytes();
            int corruptedBytes = 1 + random.nextInt(4);
            for (int j = 0; j < corruptedBytes; j++) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
            }
            int length = random.nextInt(4) == 0 ? random.nextInt(bytes.length) : bytes.length;
            try {
                assertNotNull(MessageCodec.decode(Buffer.buffer(bytes).getBuffer(0, length)));
            } catch (MalformedFrameException e) {
                assertNotNull(e.getMessage());
            }
        }
    }

    @Test
    public void emptyFrameIsMalformed() {
        assertThrows(MalformedFrameException.class, () -> MessageCodec.decode(Buffer.buffer()));
    }

    /** Lists the start of a message and the header of a value that is longer than the frame. */
    @DataProvider
    public Object[][] lengthsBeyondTheFrame() {
        String start = "83a174a26664a673747265616d01a464617461";
        return new Object[][] {
            {start + "c67fffffff"},
            {start + "db7fffffff"},
            {start + "c97fffffff01"},
            {start + "dd7fffffff"},
            {start + "df7fffffff"},
            {"c67fffffff"},
            {"df7fffffffc67fffffff"},
        };
    }

    @Test(dataProvider = "lengthsBeyondTheFrame")
    public void lengthsBeyondTheFrameAreMalformedAndAllocateNothing(String encoding) {
        byte[] body = HexFormat.of().parseHex(encoding);
        var threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long allocatedBytes = threads.getCurrentThreadAllocatedBytes();

        assertThrows(MalformedFrameException.class, () -> MessageCodec.decode(Buffer.buffer(body)));
        assertTrue(UnreadableForward.streamIn(body).isEmpty());

        assertTrue(
                threads.getCurrentThreadAllocatedBytes() - allocatedBytes
                        < MessageCodec.MAX_FRAME_BYTES);
    }

    @Test
    public void ignoresUnknownFieldsOfANewerRelease() throws Exception {
        ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
        byte[] encodedByNewerRelease =
                mapper.writeValueAsBytes(
                        Map.of("t", "fe", "stream", 4, "complete", true, "addedLater", "x"));

        assertEquals(
                MessageCodec.decode(Buffer.buffer(encodedByNewerRelease)),
                new PeerMessage.ForwardEnd(4, true));
    }
}
