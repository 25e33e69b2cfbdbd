package org.filbertrudder.standins.platform;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.filbertrudder.model.Json;

/**
 * Simulates a replica that sends an endless response until the peer closes the connection.
 *
 * <p>The replica sends as fast as the peer reads, and counts the bytes sent.
 */
public final class EndlessResponseReplicaStandIn {

    private static final Pattern REQUEST_ID =
            Pattern.compile("(?im)^filbertrudder-attempt-id: *(\\S+)");
    private static final String STAMPED_HEAD =
            "HTTP/1.1 %s\r\nFilbertrudder-Attempt-Id: %s\r\nFilbertrudder-Server-Stamp: s\r\n";
    private static final int REPEATS_PER_WRITE = 64;

    private final Vertx mVertx;
    private final Shape mShape;
    private final AtomicLong mSentBytes = new AtomicLong();
    private final AtomicInteger mOpenResponses = new AtomicInteger();
    private final AtomicInteger mReceivedRequests = new AtomicInteger();

    /** Creates a replica that sends responses of the given shape. */
    public EndlessResponseReplicaStandIn(Vertx vertx, Shape shape) {
        mVertx = vertx;
        mShape = shape;
    }

    /** Lists the endless responses: a fixed beginning and an endlessly repeated part. */
    public enum Shape {
        /** The status line does not end. */
        STATUS_LINE("HTTP/1.1 200 ", "x"),
        /** The line breaks before the status line do not end. */
        LEADING_LINE_BREAKS("", "\r\n"),
        /** The bytes are not an HTTP response. */
        NOT_HTTP("", "noise "),
        /** A header field does not end. */
        HEADER("HTTP/1.1 200 OK\r\nlong: ", "x"),
        /** The list of header fields does not end. */
        HEADERS("HTTP/1.1 200 OK\r\n", "more: x\r\n"),
        /** The sequence of interim responses does not end. */
        INTERIM_RESPONSES("", "HTTP/1.1 100 Continue\r\n\r\n"),
        /** The sequence of complete responses to other requests does not end. */
        RESPONSES_TO_OTHER_REQUESTS(
                "",
                "HTTP/1.1 200 OK\r\n"
                        + "Filbertrudder-Attempt-Id: other\r\n"
                        + "Content-Length: 2\r\n\r\n"
                        + "no"),
        /** The body of a response to another request does not end. */
        BODY_OF_OTHER_REQUEST(
                "HTTP/1.1 200 OK\r\nFilbertrudder-Attempt-Id: other\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n",
                "5\r\nwrong\r\n"),
        /** The header of a chunk does not end. */
        CHUNK_HEAD(STAMPED_HEAD + "Transfer-Encoding: chunked\r\n\r\n2;x=", "x"),
        /** The trailer fields after the last chunk do not end. */
        TRAILERS(
                STAMPED_HEAD + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "more: x\r\n"),
        /** The body of an error response does not end. */
        FAILURE_BODY(STAMPED_HEAD + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nerror\r\n"),
        /** A server-sent event does not end. */
        EVENT(
                STAMPED_HEAD + "Transfer-Encoding: chunked\r\n\r\n8\r\nid: 1\nda\r\n",
                "5\r\ndatax\r\n"),
        /** A body of long chunks does not end. */
        BODY(
                STAMPED_HEAD + "Transfer-Encoding: chunked\r\n\r\n",
                "1000\r\n" + "x".repeat(0x1000) + "\r\n"),
        /** Endless bytes follow a response that is complete according to its content length. */
        BYTES_AFTER_RESPONSE(STAMPED_HEAD + "Content-Length: 2\r\n\r\nok", "more"),
        /** The same, and a header field has a name that is not allowed. */
        MALFORMED_HEADER_NAME(STAMPED_HEAD + "Load(now): 1\r\nContent-Length: 2\r\n\r\nok", "more"),
        /** The same, and the value of a header field has a control character. */
        MALFORMED_HEADER_VALUE(
                STAMPED_HEAD + "Load: 1\u0000\r\nContent-Length: 2\r\n\r\nok", "more");

        private final String mBeginning;
        private final String mRepeatedPart;

        Shape(String beginning, String repeatedPart) {
            mBeginning = beginning;
            mRepeatedPart = repeatedPart;
        }

        /** Returns the length of the repeated part, in bytes. */
        public int repeatedBytes() {
            return mRepeatedPart.length();
        }

        private String status() {
            return this == FAILURE_BODY ? "500 Internal Server Error" : "200 OK";
        }
    }

    /** Starts to listen on loopback and returns the bound port. */
    public int start() {
        NetServer server = mVertx.createNetServer().connectHandler(this::accept);
        return server.listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .join()
                .actualPort();
    }

    /** Starts to listen and registers the replica in the store. */
    public EndlessResponseReplicaStandIn start(
            KvStoreStandIn store, String id, String service, String zone, int slots) {
        store.put(
                "servers/" + id,
                Json.MAPPER
                        .createObjectNode()
                        .put("service", service)
                        .put("addr", "127.0.0.1:" + start())
                        .put("zone", zone)
                        .put("version", "v1")
                        .put("slots", slots)
                        .put("state", "ready")
                        .put("warmupMs", 0)
                        .put("seq", 1)
                        .toString());
        return this;
    }

    /**
     * Returns the number of bytes handed to the sockets, whether received by the peer or in
     * transit.
     */
    public long sentBytes() {
        return mSentBytes.get();
    }

    /** Returns the number of open connections with an endless response. */
    public int openResponses() {
        return mOpenResponses.get();
    }

    /** Returns the number of connections on which a request was received. */
    public int receivedRequests() {
        return mReceivedRequests.get();
    }

    private void accept(NetSocket socket) {
        boolean[] requestReceived = new boolean[1];
        socket.handler(
                bytes -> {
                    if (!requestReceived[0]) {
                        requestReceived[0] = true;
                        mReceivedRequests.incrementAndGet();
                        respond(socket, bytes.toString());
                    }
                });
    }

    private void respond(NetSocket socket, String request) {
        mOpenResponses.incrementAndGet();
        boolean[] closed = new boolean[1];
        socket.exceptionHandler(ignored -> {});
        socket.closeHandler(
                ignored -> {
                    closed[0] = true;
                    mOpenResponses.decrementAndGet();
                });
        Matcher id = REQUEST_ID.matcher(request);
        String beginning =
                String.format(mShape.mBeginning, mShape.status(), id.find() ? id.group(1) : "a1");
        socket.write(beginning);
        sendEndlessly(
                socket, Buffer.buffer(mShape.mRepeatedPart.repeat(REPEATS_PER_WRITE)), closed);
    }

    private void sendEndlessly(NetSocket socket, Buffer repeatedPart, boolean[] closed) {
        if (closed[0]) {
            return;
        }
        mSentBytes.addAndGet(repeatedPart.length());
        socket.write(repeatedPart)
                .onSuccess(
                        done ->
                                mVertx.runOnContext(
                                        ignored -> sendEndlessly(socket, repeatedPart, closed)));
    }
}
