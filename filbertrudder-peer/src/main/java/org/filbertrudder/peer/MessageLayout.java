package org.filbertrudder.peer;

import java.nio.charset.StandardCharsets;

/** Describes the fields of a message or record that is encoded as a map, in their order. */
final class MessageLayout {

    static final MessageLayout HELLO = message("he", "version", "sender", "life");
    static final MessageLayout HEARTBEAT = message("hb", "sender", "revision", "members");
    static final MessageLayout HEARTBEAT_ACK = message("ha", "sender", "revision", "members");
    static final MessageLayout MEMBER_UPDATES = message("mu", "members");
    static final MessageLayout MEMBERS_REQUEST = message("mr");
    static final MessageLayout RESERVE_REQUEST =
            message("rq", "id", "account", "tokens", "deadlineMs");
    static final MessageLayout RESERVE_REPLY =
            message("rr", "id", "outcome", "reservation", "retryAfterMs", "waitedMs");
    static final MessageLayout RESERVATION_SETTLEMENT =
            message("se", "account", "reservation", "unusedTokens");
    static final MessageLayout LOAN_REQUEST =
            message("lr", "id", "account", "ratePerSecond", "tokens");
    static final MessageLayout LOAN_GRANT =
            message("lg", "id", "account", "ratePerSecond", "tokens", "termMs");
    static final MessageLayout CRASH_REPORT =
            message("cx", "account", "bodySha256", "endpoint", "atMs", "alone");
    static final MessageLayout CRASH_RECORDS =
            message("cs", "step", "informed", "digest", "records");
    static final MessageLayout FORWARD_START =
            message(
                    "fs",
                    "stream",
                    "requestId",
                    "account",
                    "key",
                    "revision",
                    "origin",
                    "method",
                    "uri",
                    "headers",
                    "body",
                    "deadlineMs",
                    "service",
                    "resumeAfter");
    static final MessageLayout FORWARD_HEAD =
            message("fh", "stream", "status", "headers", "refusal");
    static final MessageLayout FORWARD_DATA = message("fd", "stream", "data");
    static final MessageLayout FORWARD_END = message("fe", "stream", "complete");
    static final MessageLayout FORWARD_CANCEL = message("fc", "stream");
    static final MessageLayout FORWARD_CREDIT = message("fw", "stream", "bytes");
    static final MessageLayout FORWARD_KEEP_ALIVE = message("fa");
    static final MessageLayout FORWARDS_END = message("fx");
    static final MessageLayout FORWARD_RESUME = message("fr", "generation", "known", "streams");
    static final MessageLayout FORWARD_UNKNOWN = message("fu", "stream", "mayHaveRun");
    static final MessageLayout OPERATOR_STATE_REQUEST =
            message("tr", "id", "revision", "endpointsDigest", "version");
    static final MessageLayout OPERATOR_STATE_REPLY =
            message(
                    "ts",
                    "id",
                    "ageMs",
                    "revision",
                    "configuration",
                    "evacuations",
                    "endpoints",
                    "endpointsDigest",
                    "endpointsAgeMs",
                    "afterOutage",
                    "version",
                    "era",
                    "newestEra",
                    "newestEraAgeMs",
                    "endpointsEra");
    static final MessageLayout INSTANCE_LOAD_REPORT = message("lo", "loads", "limits");
    static final MessageLayout REGION_LOAD_SUM = message("ls", "loads", "limits");
    static final MessageLayout REGION_REPORT =
            message("rg", "region", "startDelaysMs", "loads", "limits");
    static final MessageLayout SEND_PERMIT_REQUEST = message("pq", "id", "limit", "wanted");
    static final MessageLayout SEND_PERMIT_REPLY = message("pr", "id", "limit", "count", "waitMs");
    static final MessageLayout PART_EVIDENCE_REPORT = message("pe", "evidence", "answer");
    static final MessageLayout PART_EVIDENCE_DIGEST = message("pd", "digest");
    static final MessageLayout START_REQUESTS = message("sq", "service", "requests");
    static final MessageLayout START_DECISIONS = message("sd", "service", "decisions");
    static final MessageLayout START_REPORT =
            message(
                    "st",
                    "service",
                    "full",
                    "open",
                    "begun",
                    "ended",
                    "rejected",
                    "cancelled",
                    "statements",
                    "streams");
    static final MessageLayout REGION_ROOM =
            message("rm", "region", "service", "tokensPerSecond", "startsPerSecond", "waitMs");

    static final MessageLayout MEMBER =
            record(
                    "id",
                    "incarnation",
                    "region",
                    "failureDomain",
                    "host",
                    "peerPort",
                    "forwardPort",
                    "callerPort",
                    "state",
                    "strength");

    private static final int FIXED_MAP = 0x80;
    private static final int FIXED_STRING = 0xa0;
    private static final String TYPE_FIELD = "t";

    /** The bytes before the first field: the map header and, for a message, its type. */
    final byte[] mHead;

    /** The encoded name of each field. */
    final byte[][] mNames;

    private MessageLayout(byte[] head, String... names) {
        mHead = head;
        mNames = new byte[names.length][];
        for (int i = 0; i < names.length; i++) {
            mNames[i] = encode(names[i]);
        }
    }

    private static MessageLayout message(String type, String... names) {
        byte[] field = encode(TYPE_FIELD);
        byte[] value = encode(type);
        byte[] head = new byte[1 + field.length + value.length];
        head[0] = (byte) (FIXED_MAP + 1 + names.length);
        System.arraycopy(field, 0, head, 1, field.length);
        System.arraycopy(value, 0, head, 1 + field.length, value.length);
        return new MessageLayout(head, names);
    }

    private static MessageLayout record(String... names) {
        return new MessageLayout(new byte[] {(byte) (FIXED_MAP + names.length)}, names);
    }

    private static byte[] encode(String name) {
        byte[] text = name.getBytes(StandardCharsets.US_ASCII);
        byte[] bytes = new byte[1 + text.length];
        bytes[0] = (byte) (FIXED_STRING + text.length);
        System.arraycopy(text, 0, bytes, 1, text.length);
        return bytes;
    }
}
