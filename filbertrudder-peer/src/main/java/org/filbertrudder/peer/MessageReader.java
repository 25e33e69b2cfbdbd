package org.filbertrudder.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.KeyId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.EndpointLimitReport;
import org.filbertrudder.model.message.EndpointLoad;
import org.filbertrudder.model.message.ForwardRecords;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PartEvidence;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.ReserveOutcome;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads a message of a frequent type exactly as {@link MessageWriter} writes it; any other frame
 * needs data binding.
 */
final class MessageReader {

    private static final int NIL = 0xc0;
    private static final int BINARY_8 = 0xc4;
    private static final int BINARY_32 = 0xc6;
    private static final int REAL_64 = 0xcb;
    private static final int TEXT_8 = 0xd9;
    private static final int TEXT_32 = 0xdb;
    private static final int FIXED_TEXT = 0xa0;
    private static final int FIXED_TEXT_MASK = 0xe0;

    /** The position of the two letters of the type in a message. */
    private static final int TYPE_INDEX = 4;

    private static final int MAX_NAME_BYTES = 32;

    private static final RuntimeException OTHER_FORMAT = new OtherFormatException();

    private final byte[] mBody;
    private final MessageUnpacker mUnpacker;
    private final byte[] mName = new byte[MAX_NAME_BYTES];
    private byte[][] mNames;
    private int mNextName;

    private MessageReader(byte[] body) {
        mBody = body;
        mUnpacker = MessagePack.newDefaultUnpacker(body);
    }

    /** Returns the message; null if the frame has another format or is malformed. */
    static PeerMessage read(byte[] body) {
        if (body.length < TYPE_INDEX + 2) {
            return null;
        }
        try {
            MessageReader reader = new MessageReader(body);
            PeerMessage message = reader.message();
            return reader.mUnpacker.hasNext() ? null : message;
        } catch (IOException | RuntimeException e) {
            return null;
        }
    }

    private PeerMessage message() throws IOException {
        int type = mBody[TYPE_INDEX] << Byte.SIZE | mBody[TYPE_INDEX + 1];
        PeerMessage message = forwarded(type);
        message = message != null ? message : membership(type);
        message = message != null ? message : load(type);
        message = message != null ? message : tokens(type);
        message = message != null ? message : state(type);
        message = message != null ? message : new StartMessageReader(this).read(type);
        return message != null ? message : new CrashRecordReader(this).read(type);
    }

    private PeerMessage forwarded(int type) throws IOException {
        switch (type) {
            case 'f' << Byte.SIZE | 'd':
                begin(MessageLayout.FORWARD_DATA);
                return new PeerMessage.ForwardData(field().number(), field().bytes());
            case 'f' << Byte.SIZE | 'w':
                begin(MessageLayout.FORWARD_CREDIT);
                return new PeerMessage.ForwardCredit(field().number(), field().number());
            case 'f' << Byte.SIZE | 's':
                return forwardStart();
            case 'f' << Byte.SIZE | 'h':
                begin(MessageLayout.FORWARD_HEAD);
                return new PeerMessage.ForwardHead(
                        field().number(),
                        field().integer(),
                        field().texts(),
                        field().forwardRefusal());
            case 'f' << Byte.SIZE | 'e':
                begin(MessageLayout.FORWARD_END);
                return new PeerMessage.ForwardEnd(field().number(), field().truth());
            case 'f' << Byte.SIZE | 'c':
                begin(MessageLayout.FORWARD_CANCEL);
                return new PeerMessage.ForwardCancel(field().number());
            case 'f' << Byte.SIZE | 'a':
                begin(MessageLayout.FORWARD_KEEP_ALIVE);
                return new PeerMessage.ForwardKeepAlive();
            case 'f' << Byte.SIZE | 'x':
                begin(MessageLayout.FORWARDS_END);
                return new PeerMessage.ForwardsEnd();
            default:
                return resumed(type);
        }
    }

    private PeerMessage resumed(int type) throws IOException {
        switch (type) {
            case 'f' << Byte.SIZE | 'r':
                begin(MessageLayout.FORWARD_RESUME);
                return new PeerMessage.ForwardResume(
                        field().number(), field().truth(), field().openForwards());
            case 'f' << Byte.SIZE | 'u':
                begin(MessageLayout.FORWARD_UNKNOWN);
                return new PeerMessage.ForwardUnknown(field().number(), field().truth());
            default:
                return null;
        }
    }

    private PeerMessage membership(int type) throws IOException {
        switch (type) {
            case 'h' << Byte.SIZE | 'b':
                begin(MessageLayout.HEARTBEAT);
                return new PeerMessage.Heartbeat(
                        field().member(), field().number(), field().integer());
            case 'h' << Byte.SIZE | 'a':
                begin(MessageLayout.HEARTBEAT_ACK);
                return new PeerMessage.HeartbeatAck(
                        field().member(), field().number(), field().integer());
            case 'h' << Byte.SIZE | 'e':
                begin(MessageLayout.HELLO);
                return new PeerMessage.Hello(field().integer(), field().member(), field().number());
            case 'm' << Byte.SIZE | 'u':
                begin(MessageLayout.MEMBER_UPDATES);
                return new PeerMessage.MemberUpdates(field().members());
            case 'm' << Byte.SIZE | 'r':
                begin(MessageLayout.MEMBERS_REQUEST);
                return new PeerMessage.MembersRequest();
            default:
                return null;
        }
    }

    private PeerMessage load(int type) throws IOException {
        switch (type) {
            case 'l' << Byte.SIZE | 's':
                begin(MessageLayout.REGION_LOAD_SUM);
                return new PeerMessage.RegionLoadSum(field().loads(), field().limits());
            case 'l' << Byte.SIZE | 'o':
                begin(MessageLayout.INSTANCE_LOAD_REPORT);
                return new PeerMessage.InstanceLoadReport(field().loads(), field().limits());
            case 'r' << Byte.SIZE | 'g':
                begin(MessageLayout.REGION_REPORT);
                return new PeerMessage.RegionReport(
                        field().region(), field().numbers(), field().loads(), field().limits());
            case 'p' << Byte.SIZE | 'q':
                begin(MessageLayout.SEND_PERMIT_REQUEST);
                return new PeerMessage.SendPermitRequest(
                        field().number(), field().limit(), field().integer());
            case 'p' << Byte.SIZE | 'r':
                begin(MessageLayout.SEND_PERMIT_REPLY);
                return new PeerMessage.SendPermitReply(
                        field().number(), field().limit(), field().integer(), field().number());
            default:
                return null;
        }
    }

    private PeerMessage tokens(int type) throws IOException {
        switch (type) {
            case 'r' << Byte.SIZE | 'q':
                begin(MessageLayout.RESERVE_REQUEST);
                return new PeerMessage.ReserveRequest(
                        field().number(), field().account(), field().number(), field().number());
            case 'r' << Byte.SIZE | 'r':
                begin(MessageLayout.RESERVE_REPLY);
                return new PeerMessage.ReserveReply(
                        field().number(),
                        field().outcome(),
                        field().number(),
                        field().number(),
                        field().number());
            case 's' << Byte.SIZE | 'e':
                begin(MessageLayout.RESERVATION_SETTLEMENT);
                return new PeerMessage.ReservationSettlement(
                        field().account(), field().number(), field().number());
            case 'l' << Byte.SIZE | 'r':
                begin(MessageLayout.LOAN_REQUEST);
                return new PeerMessage.LoanRequest(
                        field().number(), field().account(), field().real(), field().real());
            case 'l' << Byte.SIZE | 'g':
                begin(MessageLayout.LOAN_GRANT);
                return new PeerMessage.LoanGrant(
                        field().number(),
                        field().account(),
                        field().real(),
                        field().real(),
                        field().number());
            default:
                return null;
        }
    }

    private PeerMessage state(int type) throws IOException {
        switch (type) {
            case 'p' << Byte.SIZE | 'd':
                begin(MessageLayout.PART_EVIDENCE_DIGEST);
                return new PeerMessage.PartEvidenceDigest(field().number());
            case 'p' << Byte.SIZE | 'e':
                begin(MessageLayout.PART_EVIDENCE_REPORT);
                return new PeerMessage.PartEvidenceReport(field().evidences(), field().truth());
            case 't' << Byte.SIZE | 'r':
                begin(MessageLayout.OPERATOR_STATE_REQUEST);
                return new PeerMessage.OperatorStateRequest(
                        field().number(), field().number(), field().number(), field().number());
            case 't' << Byte.SIZE | 's':
                return operatorStateReply();
            case 'c' << Byte.SIZE | 'x':
                begin(MessageLayout.CRASH_REPORT);
                return new PeerMessage.CrashReport(
                        field().account(),
                        field().text(),
                        field().endpoint(),
                        field().number(),
                        field().truth());
            default:
                return null;
        }
    }

    private PeerMessage forwardStart() throws IOException {
        begin(MessageLayout.FORWARD_START);
        return new PeerMessage.ForwardStart(
                field().number(),
                field().text(),
                field().account(),
                field().key(),
                field().number(),
                field().region(),
                field().text(),
                field().text(),
                field().texts(),
                field().bytes(),
                field().number(),
                field().service(),
                field().nullableNumber());
    }

    private ForwardRecords.Refusal forwardRefusal() throws IOException {
        return array(3) ? new ForwardRecords.Refusal(text(), truth(), number()) : null;
    }

    private PeerMessage operatorStateReply() throws IOException {
        begin(MessageLayout.OPERATOR_STATE_REPLY);
        return new PeerMessage.OperatorStateReply(
                field().number(),
                field().number(),
                field().number(),
                field().text(),
                field().numbers(),
                field().texts(),
                field().number(),
                field().number(),
                field().truth(),
                field().number(),
                field().number(),
                field().number(),
                field().number(),
                field().number());
    }

    void begin(MessageLayout layout) throws IOException {
        expect(layout.mHead);
        mNames = layout.mNames;
        mNextName = 0;
    }

    /** Reads the name of the next field. */
    MessageReader field() throws IOException {
        expect(mNames[mNextName++]);
        return this;
    }

    private void expect(byte[] bytes) throws IOException {
        mUnpacker.readPayload(mName, 0, bytes.length);
        if (!Arrays.equals(mName, 0, bytes.length, bytes, 0, bytes.length)) {
            throw OTHER_FORMAT;
        }
    }

    /** Returns the first byte of the next value, which tells its format. */
    private int nextFormat() {
        return mBody[(int) mUnpacker.getTotalReadBytes()] & 0xff;
    }

    private boolean nil() throws IOException {
        if (nextFormat() != NIL) {
            return false;
        }
        mUnpacker.unpackNil();
        return true;
    }

    long number() throws IOException {
        return mUnpacker.unpackLong();
    }

    Long nullableNumber() throws IOException {
        return nil() ? null : Long.valueOf(number());
    }

    int integer() throws IOException {
        return mUnpacker.unpackInt();
    }

    double real() throws IOException {
        if (nextFormat() != REAL_64) {
            throw OTHER_FORMAT;
        }
        return mUnpacker.unpackDouble();
    }

    boolean truth() throws IOException {
        return mUnpacker.unpackBoolean();
    }

    String text() throws IOException {
        if (nil()) {
            return null;
        }
        int format = nextFormat();
        if ((format & FIXED_TEXT_MASK) != FIXED_TEXT && (format < TEXT_8 || format > TEXT_32)) {
            throw OTHER_FORMAT;
        }
        return mUnpacker.unpackString();
    }

    private byte[] bytes() throws IOException {
        if (nil()) {
            return null;
        }
        int format = nextFormat();
        if (format < BINARY_8 || format > BINARY_32) {
            throw OTHER_FORMAT;
        }
        int length = mUnpacker.unpackBinaryHeader();
        if (length > mBody.length - mUnpacker.getTotalReadBytes()) {
            throw OTHER_FORMAT;
        }
        return mUnpacker.readPayload(length);
    }

    private ReserveOutcome outcome() throws IOException {
        String name = text();
        return name == null ? null : ReserveOutcome.valueOf(name);
    }

    AccountId account() throws IOException {
        String value = text();
        return value == null ? null : AccountId.of(value);
    }

    EndpointId endpoint() throws IOException {
        String value = text();
        return value == null ? null : EndpointId.of(value);
    }

    RegionId region() throws IOException {
        String value = text();
        return value == null ? null : RegionId.of(value);
    }

    ServiceId service() throws IOException {
        String value = text();
        return value == null ? null : ServiceId.of(value);
    }

    private InstanceId instance() throws IOException {
        String value = text();
        return value == null ? null : InstanceId.of(value);
    }

    private FailureDomainId failureDomain() throws IOException {
        String value = text();
        return value == null ? null : FailureDomainId.of(value);
    }

    private KeyId key() throws IOException {
        String value = text();
        return value == null ? null : KeyId.of(value);
    }

    private MemberState memberState() throws IOException {
        String name = text();
        return name == null ? null : MemberState.valueOf(name);
    }

    private Map<String, String> texts() throws IOException {
        if (nil()) {
            return null;
        }
        Map<String, String> texts = new LinkedHashMap<>();
        for (int left = mUnpacker.unpackMapHeader(); left > 0; left--) {
            texts.put(mapKey(), text());
        }
        return texts;
    }

    private Map<String, Long> numbers() throws IOException {
        if (nil()) {
            return null;
        }
        Map<String, Long> numbers = new LinkedHashMap<>();
        for (int left = mUnpacker.unpackMapHeader(); left > 0; left--) {
            numbers.put(mapKey(), nullableNumber());
        }
        return numbers;
    }

    private String mapKey() throws IOException {
        String key = text();
        if (key == null) {
            throw OTHER_FORMAT;
        }
        return key;
    }

    /** Starts an array that has a known number of values; returns false if it is null. */
    boolean array(int values) throws IOException {
        if (nil()) {
            return false;
        }
        if (mUnpacker.unpackArrayHeader() != values) {
            throw OTHER_FORMAT;
        }
        return true;
    }

    /** Reads a list of values that are each read by the reader; returns null if it is null. */
    <T> List<T> list(ValueReader<T> value) throws IOException {
        if (nil()) {
            return null;
        }
        List<T> values = new ArrayList<>();
        for (int left = mUnpacker.unpackArrayHeader(); left > 0; left--) {
            values.add(value.read());
        }
        return values;
    }

    private Member member() throws IOException {
        if (nil()) {
            return null;
        }
        byte[][] outerNames = mNames;
        int outerNext = mNextName;
        begin(MessageLayout.MEMBER);
        Member member =
                new Member(
                        field().instance(),
                        field().number(),
                        field().region(),
                        field().failureDomain(),
                        field().text(),
                        field().integer(),
                        field().integer(),
                        field().integer(),
                        field().memberState(),
                        field().integer());
        mNames = outerNames;
        mNextName = outerNext;
        return member;
    }

    private List<Member> members() throws IOException {
        if (nil()) {
            return null;
        }
        List<Member> members = new ArrayList<>();
        for (int left = mUnpacker.unpackArrayHeader(); left > 0; left--) {
            members.add(member());
        }
        return members;
    }

    private List<EndpointLoad> loads() throws IOException {
        if (nil()) {
            return null;
        }
        List<EndpointLoad> loads = new ArrayList<>();
        for (int left = mUnpacker.unpackArrayHeader(); left > 0; left--) {
            loads.add(array(4) ? new EndpointLoad(endpoint(), integer(), real(), number()) : null);
        }
        return loads;
    }

    private List<EndpointLimitReport> limits() throws IOException {
        if (nil()) {
            return null;
        }
        List<EndpointLimitReport> limits = new ArrayList<>();
        for (int left = mUnpacker.unpackArrayHeader(); left > 0; left--) {
            limits.add(limit());
        }
        return limits;
    }

    private EndpointLimitReport limit() throws IOException {
        if (!array(4)) {
            return null;
        }
        return new EndpointLimitReport(
                endpoint(), nil() ? null : Double.valueOf(real()), number(), number());
    }

    private List<ForwardRecords.Open> openForwards() throws IOException {
        if (nil()) {
            return null;
        }
        List<ForwardRecords.Open> forwards = new ArrayList<>();
        for (int left = mUnpacker.unpackArrayHeader(); left > 0; left--) {
            forwards.add(array(3) ? new ForwardRecords.Open(number(), integer(), number()) : null);
        }
        return forwards;
    }

    private List<PartEvidence> evidences() throws IOException {
        if (nil()) {
            return null;
        }
        List<PartEvidence> evidences = new ArrayList<>();
        for (int left = mUnpacker.unpackArrayHeader(); left > 0; left--) {
            evidences.add(
                    array(6)
                            ? new PartEvidence(
                                    text(), integer(), integer(), truth(), lostRequests(), number())
                            : null);
        }
        return evidences;
    }

    private List<PartEvidence.LostRequest> lostRequests() throws IOException {
        if (nil()) {
            return null;
        }
        List<PartEvidence.LostRequest> requests = new ArrayList<>();
        for (int left = mUnpacker.unpackArrayHeader(); left > 0; left--) {
            requests.add(
                    array(3) ? new PartEvidence.LostRequest(number(), integer(), number()) : null);
        }
        return requests;
    }

    /**
     * Reads one value.
     *
     * @param <T> the type of the value
     */
    @FunctionalInterface
    interface ValueReader<T> {

        /** Returns the next value. */
        T read() throws IOException;
    }

    /** Stands for any difference from the expected format; has no stack trace. */
    private static final class OtherFormatException extends RuntimeException {

        private static final long serialVersionUID = 1L;

        OtherFormatException() {
            super(null, null, false, false);
        }
    }
}
