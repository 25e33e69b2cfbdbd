package org.filbertrudder.measure;

import io.vertx.core.buffer.Buffer;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.KeyId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.ReserveOutcome;
import org.filbertrudder.model.message.ShardOwner;
import org.filbertrudder.peer.MessageCodec;

/** Measures the size of peer messages by type and the time to encode and decode them. */
final class MessageCapacity implements Experiment {

    private static final int ITERATIONS = 50_000;
    private static final AccountId ACCOUNT = AccountId.of("account-1234");
    private static final RegionId REGION = RegionId.of("region-17");
    private static final InstanceId INSTANCE = InstanceId.of("instance-1234");

    @Override
    public Table run(long seed) {
        Table table = new Table("message", "bytes", "encode_us", "decode_us");
        sampleMessages().forEach((name, message) -> measure(table, name, message));
        return table;
    }

    private static Map<String, PeerMessage> sampleMessages() {
        Member member =
                new Member(
                        INSTANCE,
                        1_800_000_000_000L,
                        REGION,
                        FailureDomainId.of("region-17-a"),
                        "10.0.12.200",
                        8_082,
                        8_083,
                        8_080,
                        MemberState.LIVE);
        Configuration configuration = SyntheticConfiguration.of(48, 10, 10);
        Map<String, PeerMessage> messages = new LinkedHashMap<>();
        messages.put("heartbeat", new PeerMessage.Heartbeat(member, 123_456, 123_456_789));
        messages.put("heartbeat ack", new PeerMessage.HeartbeatAck(member, 123_456, 123_456_789));
        messages.put("member update", new PeerMessage.MemberUpdates(List.of(member)));
        messages.put(
                "change of an account",
                new PeerMessage.ChangePush(
                        List.of(SyntheticConfiguration.contractChange(configuration, 1, 48))));
        messages.put(
                "shard owner",
                new PeerMessage.ShardUpdates(
                        List.of(
                                new ShardOwner(
                                        REGION, 12, INSTANCE, 1_800_000_000_000L, 3, false))));
        messages.put("reserve", new PeerMessage.ReserveRequest(123_456, ACCOUNT, 1_200, 10_000));
        messages.put(
                "reserve reply",
                new PeerMessage.ReserveReply(123_456, ReserveOutcome.GRANTED, 123_456, 0, 0));
        messages.put("settle", new PeerMessage.ReservationSettlement(ACCOUNT, 123_456, 800));
        messages.put("loan request", new PeerMessage.LoanRequest(123, ACCOUNT, 400, 800));
        messages.put("loan grant", new PeerMessage.LoanGrant(123, ACCOUNT, 400, 800, 10_000));
        messages.put(
                "forward, 1 kB body",
                new PeerMessage.ForwardStart(
                        12,
                        "00000000-0000-0000-0000-000000000000",
                        ACCOUNT,
                        KeyId.of("k123456"),
                        123_456,
                        REGION,
                        "POST",
                        "/services/chat/v1/chat/completions",
                        Map.of("content-type", "application/json"),
                        new byte[1_000],
                        120_000,
                        null,
                        null));
        messages.put("forwarded token, 120 B", new PeerMessage.ForwardData(12, new byte[120]));
        messages.put("forward credit", new PeerMessage.ForwardCredit(12, 120));
        return messages;
    }

    private static void measure(Table table, String name, PeerMessage message) {
        int frameBytes = MessageCodec.encode(message).length();
        decodeRepeatedly(message);
        long startNs = System.nanoTime();
        for (int i = 0; i < ITERATIONS; i++) {
            MessageCodec.encode(message);
        }
        double encodeUs = (System.nanoTime() - startNs) / 1e3 / ITERATIONS;
        startNs = System.nanoTime();
        decodeRepeatedly(message);
        double decodeUs = (System.nanoTime() - startNs) / 1e3 / ITERATIONS;
        table.add(name, frameBytes, encodeUs, decodeUs);
    }

    private static void decodeRepeatedly(PeerMessage message) {
        Buffer frame = MessageCodec.encode(message);
        Buffer body = frame.slice(MessageCodec.HEADER_BYTES, frame.length());
        for (int i = 0; i < ITERATIONS; i++) {
            MessageCodec.decode(body);
        }
    }
}
