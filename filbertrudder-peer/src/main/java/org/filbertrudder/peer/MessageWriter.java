package org.filbertrudder.peer;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.EndpointLimitReport;
import org.filbertrudder.model.message.EndpointLoad;
import org.filbertrudder.model.message.ForwardRecords;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PartEvidence;
import org.filbertrudder.model.message.PeerMessage;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes a frame with a message of a frequent type, as Jackson's data binding would encode it. */
final class MessageWriter {

    private static final MessagePack.PackerConfig CONFIG =
            new MessagePack.PackerConfig().withBufferSize(1_024);

    private final MessageBufferPacker mPacker = CONFIG.newBufferPacker();
    private byte[][] mNames;
    private int mNextName;

    private MessageWriter() {}

    /** Returns the frame with the message; null if the message needs data binding. */
    static byte[] write(PeerMessage message) throws IOException {
        MessageWriter writer = new MessageWriter();
        writer.mPacker.writePayload(new byte[MessageCodec.HEADER_BYTES]);
        if (!writer.forwarded(message)
                && !writer.membership(message)
                && !writer.load(message)
                && !writer.tokens(message)
                && !writer.state(message)
                && !new StartMessageWriter(writer).write(message)
                && !new CrashRecordWriter(writer).write(message)) {
            return null;
        }
        byte[] frame = writer.mPacker.toByteArray();
        int length = frame.length - MessageCodec.HEADER_BYTES;
        frame[0] = (byte) (length >> 24);
        frame[1] = (byte) (length >> 16);
        frame[2] = (byte) (length >> 8);
        frame[3] = (byte) length;
        return frame;
    }

    private boolean forwarded(PeerMessage message) throws IOException {
        if (message instanceof PeerMessage.ForwardData data) {
            begin(MessageLayout.FORWARD_DATA);
            field().number(data.stream());
            field().bytes(data.data());
        } else if (message instanceof PeerMessage.ForwardCredit credit) {
            begin(MessageLayout.FORWARD_CREDIT);
            field().number(credit.stream());
            field().number(credit.bytes());
        } else if (message instanceof PeerMessage.ForwardStart start) {
            begin(MessageLayout.FORWARD_START);
            field().number(start.stream());
            field().text(start.requestId());
            field().account(start.account());
            field().text(start.key() == null ? null : start.key().value());
            field().number(start.revision());
            field().region(start.origin());
            field().text(start.method());
            field().text(start.uri());
            field().map(start.headers());
            field().bytes(start.body());
            field().number(start.deadlineMs());
            field().service(start.service());
            field().nullableNumber(start.resumeAfter());
        } else if (message instanceof PeerMessage.ForwardHead head) {
            begin(MessageLayout.FORWARD_HEAD);
            field().number(head.stream());
            field().number(head.status());
            field().map(head.headers());
            field().refusal(head.refusal());
        } else if (message instanceof PeerMessage.ForwardEnd end) {
            begin(MessageLayout.FORWARD_END);
            field().number(end.stream());
            field().truth(end.complete());
        } else if (message instanceof PeerMessage.ForwardCancel cancel) {
            begin(MessageLayout.FORWARD_CANCEL);
            field().number(cancel.stream());
        } else if (message instanceof PeerMessage.ForwardKeepAlive) {
            begin(MessageLayout.FORWARD_KEEP_ALIVE);
        } else if (message instanceof PeerMessage.ForwardsEnd) {
            begin(MessageLayout.FORWARDS_END);
        } else {
            return resumed(message);
        }
        return true;
    }

    private boolean resumed(PeerMessage message) throws IOException {
        if (message instanceof PeerMessage.ForwardResume resume) {
            begin(MessageLayout.FORWARD_RESUME);
            field().number(resume.generation());
            field().truth(resume.known());
            field();
            if (list(resume.streams())) {
                for (ForwardRecords.Open forward : resume.streams()) {
                    openForward(forward);
                }
            }
        } else if (message instanceof PeerMessage.ForwardUnknown unknown) {
            begin(MessageLayout.FORWARD_UNKNOWN);
            field().number(unknown.stream());
            field().truth(unknown.mayHaveRun());
        } else {
            return false;
        }
        return true;
    }

    private void refusal(ForwardRecords.Refusal refusal) throws IOException {
        if (array(refusal, 3)) {
            text(refusal.code());
            truth(refusal.notRun());
            number(refusal.retryAfterMs());
        }
    }

    private void openForward(ForwardRecords.Open forward) throws IOException {
        if (forward == null) {
            mPacker.packNil();
            return;
        }
        mPacker.packArrayHeader(3);
        number(forward.stream());
        number(forward.receivedParts());
        number(forward.creditedBytes());
    }

    private boolean membership(PeerMessage message) throws IOException {
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            begin(MessageLayout.HEARTBEAT);
            field().member(heartbeat.sender());
            field().number(heartbeat.revision());
            field().number(heartbeat.members());
        } else if (message instanceof PeerMessage.HeartbeatAck ack) {
            begin(MessageLayout.HEARTBEAT_ACK);
            field().member(ack.sender());
            field().number(ack.revision());
            field().number(ack.members());
        } else if (message instanceof PeerMessage.Hello hello) {
            begin(MessageLayout.HELLO);
            field().number(hello.version());
            field().member(hello.sender());
            field().number(hello.life());
        } else if (message instanceof PeerMessage.MemberUpdates updates) {
            begin(MessageLayout.MEMBER_UPDATES);
            field();
            if (list(updates.members())) {
                for (Member member : updates.members()) {
                    member(member);
                }
            }
        } else if (message instanceof PeerMessage.MembersRequest) {
            begin(MessageLayout.MEMBERS_REQUEST);
        } else {
            return false;
        }
        return true;
    }

    private boolean load(PeerMessage message) throws IOException {
        if (message instanceof PeerMessage.RegionLoadSum sum) {
            begin(MessageLayout.REGION_LOAD_SUM);
            field().loads(sum.loads());
            field().limits(sum.limits());
        } else if (message instanceof PeerMessage.InstanceLoadReport report) {
            begin(MessageLayout.INSTANCE_LOAD_REPORT);
            field().loads(report.loads());
            field().limits(report.limits());
        } else if (message instanceof PeerMessage.RegionReport report) {
            begin(MessageLayout.REGION_REPORT);
            field().region(report.region());
            field().map(report.startDelaysMs());
            field().loads(report.loads());
            field().limits(report.limits());
        } else if (message instanceof PeerMessage.SendPermitRequest request) {
            begin(MessageLayout.SEND_PERMIT_REQUEST);
            field().number(request.id());
            field().limit(request.limit());
            field().number(request.wanted());
        } else if (message instanceof PeerMessage.SendPermitReply reply) {
            begin(MessageLayout.SEND_PERMIT_REPLY);
            field().number(reply.id());
            field().limit(reply.limit());
            field().number(reply.count());
            field().number(reply.waitMs());
        } else {
            return false;
        }
        return true;
    }

    private boolean tokens(PeerMessage message) throws IOException {
        if (message instanceof PeerMessage.ReserveRequest request) {
            begin(MessageLayout.RESERVE_REQUEST);
            field().number(request.id());
            field().account(request.account());
            field().number(request.tokens());
            field().number(request.deadlineMs());
        } else if (message instanceof PeerMessage.ReserveReply reply) {
            begin(MessageLayout.RESERVE_REPLY);
            field().number(reply.id());
            field().constant(reply.outcome());
            field().number(reply.reservation());
            field().number(reply.retryAfterMs());
            field().number(reply.waitedMs());
        } else if (message instanceof PeerMessage.ReservationSettlement settlement) {
            begin(MessageLayout.RESERVATION_SETTLEMENT);
            field().account(settlement.account());
            field().number(settlement.reservation());
            field().number(settlement.unusedTokens());
        } else if (message instanceof PeerMessage.LoanRequest request) {
            begin(MessageLayout.LOAN_REQUEST);
            field().number(request.id());
            field().account(request.account());
            field().real(request.ratePerSecond());
            field().real(request.tokens());
        } else if (message instanceof PeerMessage.LoanGrant grant) {
            begin(MessageLayout.LOAN_GRANT);
            field().number(grant.id());
            field().account(grant.account());
            field().real(grant.ratePerSecond());
            field().real(grant.tokens());
            field().number(grant.termMs());
        } else {
            return false;
        }
        return true;
    }

    private boolean state(PeerMessage message) throws IOException {
        if (message instanceof PeerMessage.PartEvidenceDigest digest) {
            begin(MessageLayout.PART_EVIDENCE_DIGEST);
            field().number(digest.digest());
        } else if (message instanceof PeerMessage.PartEvidenceReport report) {
            begin(MessageLayout.PART_EVIDENCE_REPORT);
            field();
            if (list(report.evidence())) {
                for (PartEvidence evidence : report.evidence()) {
                    evidence(evidence);
                }
            }
            field().truth(report.answer());
        } else if (message instanceof PeerMessage.OperatorStateRequest request) {
            begin(MessageLayout.OPERATOR_STATE_REQUEST);
            field().number(request.id());
            field().number(request.revision());
            field().number(request.endpointsDigest());
            field().number(request.version());
        } else if (message instanceof PeerMessage.OperatorStateReply reply) {
            begin(MessageLayout.OPERATOR_STATE_REPLY);
            field().number(reply.id());
            field().number(reply.ageMs());
            field().number(reply.revision());
            field().text(reply.configuration());
            field().map(reply.evacuations());
            field().map(reply.endpoints());
            field().number(reply.endpointsDigest());
            field().number(reply.endpointsAgeMs());
            field().truth(reply.afterOutage());
            field().number(reply.version());
            field().number(reply.era());
            field().number(reply.newestEra());
            field().number(reply.newestEraAgeMs());
            field().number(reply.endpointsEra());
        } else if (message instanceof PeerMessage.CrashReport report) {
            begin(MessageLayout.CRASH_REPORT);
            field().account(report.account());
            field().text(report.bodySha256());
            field().endpoint(report.endpoint());
            field().number(report.atMs());
            field().truth(report.alone());
        } else {
            return false;
        }
        return true;
    }

    void begin(MessageLayout layout) throws IOException {
        mPacker.writePayload(layout.mHead);
        mNames = layout.mNames;
        mNextName = 0;
    }

    /** Writes the name of the next field. */
    MessageWriter field() throws IOException {
        mPacker.writePayload(mNames[mNextName++]);
        return this;
    }

    void number(long value) throws IOException {
        mPacker.packLong(value);
    }

    void nullableNumber(Long value) throws IOException {
        if (value == null) {
            mPacker.packNil();
        } else {
            mPacker.packLong(value);
        }
    }

    void real(double value) throws IOException {
        mPacker.packDouble(value);
    }

    void truth(boolean value) throws IOException {
        mPacker.packBoolean(value);
    }

    void text(String value) throws IOException {
        if (value == null) {
            mPacker.packNil();
        } else {
            mPacker.packString(value);
        }
    }

    void constant(Enum<?> value) throws IOException {
        text(value == null ? null : value.name());
    }

    void account(AccountId value) throws IOException {
        text(value == null ? null : value.value());
    }

    void endpoint(EndpointId value) throws IOException {
        text(value == null ? null : value.value());
    }

    void region(RegionId value) throws IOException {
        text(value == null ? null : value.value());
    }

    void service(ServiceId value) throws IOException {
        text(value == null ? null : value.value());
    }

    private void bytes(byte[] value) throws IOException {
        if (value == null) {
            mPacker.packNil();
        } else {
            mPacker.packBinaryHeader(value.length);
            mPacker.addPayload(value);
        }
    }

    /** Writes the start of a list; returns whether there is a list. */
    private boolean list(List<?> values) throws IOException {
        if (values == null) {
            mPacker.packNil();
            return false;
        }
        mPacker.packArrayHeader(values.size());
        return true;
    }

    /** Writes a list whose values are each written by the writer. */
    <T> void list(List<T> values, ValueWriter<T> value) throws IOException {
        if (list(values)) {
            for (T each : values) {
                value.write(each);
            }
        }
    }

    /** Starts a value of several fields; returns whether it is not null. */
    boolean array(Object value, int fields) throws IOException {
        if (value == null) {
            mPacker.packNil();
            return false;
        }
        mPacker.packArrayHeader(fields);
        return true;
    }

    private void map(Map<String, ?> values) throws IOException {
        if (values == null) {
            mPacker.packNil();
            return;
        }
        mPacker.packMapHeader(values.size());
        for (Map.Entry<String, ?> entry : values.entrySet()) {
            mPacker.packString(entry.getKey());
            if (entry.getValue() instanceof Long number) {
                mPacker.packLong(number);
            } else {
                text((String) entry.getValue());
            }
        }
    }

    private void member(Member member) throws IOException {
        if (member == null) {
            mPacker.packNil();
            return;
        }
        byte[][] outerNames = mNames;
        int outerNext = mNextName;
        begin(MessageLayout.MEMBER);
        field().text(member.id() == null ? null : member.id().value());
        field().number(member.incarnation());
        field().region(member.region());
        field().text(member.failureDomain() == null ? null : member.failureDomain().value());
        field().text(member.host());
        field().number(member.peerPort());
        field().number(member.forwardPort());
        field().number(member.callerPort());
        field().constant(member.state());
        field().number(member.strength());
        mNames = outerNames;
        mNextName = outerNext;
    }

    private void loads(List<EndpointLoad> loads) throws IOException {
        if (!list(loads)) {
            return;
        }
        for (EndpointLoad load : loads) {
            if (load == null) {
                mPacker.packNil();
            } else {
                mPacker.packArrayHeader(4);
                endpoint(load.endpoint());
                number(load.requests());
                real(load.prefillMs());
                number(load.memoryTokens());
            }
        }
    }

    private void limits(List<EndpointLimitReport> limits) throws IOException {
        if (list(limits)) {
            for (EndpointLimitReport limit : limits) {
                limit(limit);
            }
        }
    }

    private void limit(EndpointLimitReport limit) throws IOException {
        if (limit == null) {
            mPacker.packNil();
            return;
        }
        mPacker.packArrayHeader(4);
        endpoint(limit.endpoint());
        if (limit.perSecond() == null) {
            mPacker.packNil();
        } else {
            real(limit.perSecond());
        }
        number(limit.sentAgeMs());
        number(limit.receivedAgeMs());
    }

    private void evidence(PartEvidence evidence) throws IOException {
        if (evidence == null) {
            mPacker.packNil();
            return;
        }
        mPacker.packArrayHeader(6);
        text(evidence.part());
        number(evidence.losses());
        number(evidence.cleared());
        truth(evidence.answered());
        if (list(evidence.requests())) {
            for (PartEvidence.LostRequest request : evidence.requests()) {
                lostRequest(request);
            }
        }
        number(evidence.ageMs());
    }

    private void lostRequest(PartEvidence.LostRequest request) throws IOException {
        if (request == null) {
            mPacker.packNil();
            return;
        }
        mPacker.packArrayHeader(3);
        number(request.request());
        number(request.losses());
        number(request.endpoint());
    }

    /**
     * Writes one value.
     *
     * @param <T> the type of the value
     */
    @FunctionalInterface
    interface ValueWriter<T> {

        /** Writes the value. */
        void write(T value) throws IOException;
    }
}
