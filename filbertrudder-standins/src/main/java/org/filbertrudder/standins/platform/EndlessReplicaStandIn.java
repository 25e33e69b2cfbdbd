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
 * Stands in for a replica that answers with bytes without end, until the other side closes.
 *
 * <p>It sends as fast as the other side reads, and counts what it has sent.
 */
public final class EndlessReplicaStandIn {

    private static final Pattern REQUEST_ID =
            Pattern.compile("(?im)^filbertrudder-attempt-id: *(\\S+)");
    private static final String SIGNED =
            "HTTP/1.1 %s\r\nFilbertrudder-Attempt-Id: %s\r\nFilbertrudder-Server-Stamp: s\r\n";
    private static final int REPEATS = 64;

    private final Vertx mVertx;
    private final Shape mShape;
    private final AtomicLong mSentBytes = new AtomicLong();
    private final AtomicInteger mOpen = new AtomicInteger();
    private final AtomicInteger mRequests = new AtomicInteger();

    /** Creates a replica that sends bytes of one shape. */
    public EndlessReplicaStandIn(Vertx vertx, Shape shape) {
        mVertx = vertx;
        mShape = shape;
    }

    /** Lists what comes without end: how the bytes begin, and what repeats. */
    public enum Shape {
        /** The first line does not end. */
        STATUS_LINE("HTTP/1.1 200 ", "x"),
        /** Control characters come before the head. */
        CONTROL_BYTES("", "\r\n"),
        /** Bytes come that are no head. */
        NOISE("", "noise "),
        /** One header does not end. */
        HEADER("HTTP/1.1 200 OK\r\nlong: ", "x"),
        /** Headers follow headers. */
        HEADERS("HTTP/1.1 200 OK\r\n", "more: x\r\n"),
        /** Interim answers follow one another. */
        INTERIM_ANSWERS("", "HTTP/1.1 100 Continue\r\n\r\n"),
        /** Answers of other requests come. */
        FOREIGN_ANSWERS(
                "",
                "HTTP/1.1 200 OK\r\n"
                        + "Filbertrudder-Attempt-Id: other\r\n"
                        + "Content-Length: 2\r\n\r\n"
                        + "no"),
        /** The answer of another request does not end. */
        FOREIGN_BODY(
                "HTTP/1.1 200 OK\r\nFilbertrudder-Attempt-Id: other\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n",
                "5\r\nwrong\r\n"),
        /** The head of a chunk does not end. */
        CHUNK_HEAD(SIGNED + "Transfer-Encoding: chunked\r\n\r\n2;x=", "x"),
        /** The lines after the last chunk do not end. */
        TRAILERS(SIGNED + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "more: x\r\n"),
        /** The body of a failure does not end. */
        FAILURE_BODY(SIGNED + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nerror\r\n"),
        /** An event of a stream does not end. */
        EVENT(SIGNED + "Transfer-Encoding: chunked\r\n\r\n8\r\nid: 1\nda\r\n", "5\r\ndatax\r\n"),
        /** Bytes follow a complete answer. */
        PAST_THE_LENGTH(SIGNED + "Content-Length: 2\r\n\r\nok", "more");

        private final String mBegin;
        private final String mRepeated;

        Shape(String begin, String repeated) {
            mBegin = begin;
            mRepeated = repeated;
        }

        private String status() {
            return this == FAILURE_BODY ? "500 Internal Server Error" : "200 OK";
        }
    }

    /** Starts to listen on loopback and returns the port. */
    public int start() {
        NetServer server = mVertx.createNetServer().connectHandler(this::accept);
        return server.listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .join()
                .actualPort();
    }

    /** Starts to listen and registers in the store. */
    public EndlessReplicaStandIn start(
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

    /** Returns the bytes that the other sides have taken in or that are on the way to them. */
    public long sentBytes() {
        return mSentBytes.get();
    }

    /** Returns the number of connections on which bytes still come. */
    public int open() {
        return mOpen.get();
    }

    /** Returns the number of requests that have come. */
    public int requests() {
        return mRequests.get();
    }

    private void accept(NetSocket socket) {
        boolean[] begun = new boolean[1];
        socket.handler(
                bytes -> {
                    if (!begun[0]) {
                        begun[0] = true;
                        mRequests.incrementAndGet();
                        answer(socket, bytes.toString());
                    }
                });
    }

    private void answer(NetSocket socket, String request) {
        mOpen.incrementAndGet();
        boolean[] closed = new boolean[1];
        socket.exceptionHandler(ignored -> {});
        socket.closeHandler(
                ignored -> {
                    closed[0] = true;
                    mOpen.decrementAndGet();
                });
        Matcher id = REQUEST_ID.matcher(request);
        String begin =
                String.format(mShape.mBegin, mShape.status(), id.find() ? id.group(1) : "a1");
        socket.write(begin);
        sendOn(socket, Buffer.buffer(mShape.mRepeated.repeat(REPEATS)), closed);
    }

    private void sendOn(NetSocket socket, Buffer repeated, boolean[] closed) {
        if (closed[0]) {
            return;
        }
        mSentBytes.addAndGet(repeated.length());
        socket.write(repeated)
                .onSuccess(
                        done -> mVertx.runOnContext(ignored -> sendOn(socket, repeated, closed)));
    }
}
