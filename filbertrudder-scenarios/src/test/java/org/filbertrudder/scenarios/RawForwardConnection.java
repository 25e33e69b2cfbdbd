package org.filbertrudder.scenarios;

import io.vertx.core.buffer.Buffer;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.ProtocolVersions;
import org.filbertrudder.peer.MessageCodec;

/** Forwards requests to an instance as another region does, and reads the responses on demand. */
final class RawForwardConnection implements AutoCloseable {

    private static final RegionId REGION = RegionId.of("gas");
    private static final int CONNECT_TIMEOUT_MS = 5_000;
    private static final int READ_TIMEOUT_MS = 20_000;
    private static final int RECEIVE_BUFFER_BYTES = 262_144;
    private static final long REQUEST_TIMEOUT_MS = 30_000;

    private final Socket mSocket;
    private long mStreams;

    private RawForwardConnection(Socket socket) {
        mSocket = socket;
    }

    static RawForwardConnection open(int port) {
        try {
            Socket socket = new Socket();
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.setSoTimeout(READ_TIMEOUT_MS);
            socket.connect(new InetSocketAddress("127.0.0.1", port), CONNECT_TIMEOUT_MS);
            RawForwardConnection connection = new RawForwardConnection(socket);
            connection.send(new PeerMessage.Hello(ProtocolVersions.NEWEST_SUPPORTED, sender()));
            return connection;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Member sender() {
        return new Member(
                InstanceId.of("gas-forwards"),
                1,
                REGION,
                FailureDomainId.of("gas-a"),
                "127.0.0.1",
                1,
                1,
                1,
                MemberState.LIVE);
    }

    private void send(PeerMessage message) throws IOException {
        mSocket.getOutputStream().write(MessageCodec.encode(message).getBytes());
    }

    /** Forwards a request to a plain service. */
    void forward(String uri, String body) {
        try {
            send(start(uri, body));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Forwards a request with one text of its message replaced by another of the same length. */
    void forwardAltered(String uri, String body, String text, String replacement) {
        byte[] frame = MessageCodec.encode(start(uri, body)).getBytes();
        String altered = new String(frame, StandardCharsets.ISO_8859_1).replace(text, replacement);
        try {
            mSocket.getOutputStream().write(altered.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private PeerMessage.ForwardStart start(String uri, String body) {
        long stream = ++mStreams;
        return new PeerMessage.ForwardStart(
                stream,
                "forwarded-" + stream,
                AccountId.of("open"),
                null,
                0,
                REGION,
                "POST",
                uri,
                Map.of("content-type", "application/json"),
                body.getBytes(StandardCharsets.UTF_8),
                REQUEST_TIMEOUT_MS,
                null,
                null);
    }

    /** Returns the next head of a response; null if the connection is closed. */
    PeerMessage.ForwardHead readHead() throws IOException {
        try {
            while (true) {
                if (readMessage() instanceof PeerMessage.ForwardHead head) {
                    return head;
                }
            }
        } catch (EOFException | SocketException e) {
            return null;
        }
    }

    private PeerMessage readMessage() throws IOException {
        DataInputStream input = new DataInputStream(mSocket.getInputStream());
        byte[] frame = new byte[input.readInt()];
        input.readFully(frame);
        return MessageCodec.decode(Buffer.buffer(frame));
    }

    /**
     * Reads and acknowledges responses until those to all requests have ended or the connection is
     * closed; returns the number of complete successful ones.
     */
    int readResponses() throws IOException {
        Set<Long> answered = new HashSet<>();
        int complete = 0;
        try {
            for (int ended = 0; ended < mStreams; ) {
                PeerMessage message = readMessage();
                if (message instanceof PeerMessage.ForwardHead head && head.status() < 300) {
                    answered.add(head.stream());
                } else if (message instanceof PeerMessage.ForwardData data) {
                    send(new PeerMessage.ForwardCredit(data.stream(), data.data().length));
                } else if (message instanceof PeerMessage.ForwardEnd end) {
                    ended++;
                    complete += end.complete() && answered.contains(end.stream()) ? 1 : 0;
                    send(new PeerMessage.ForwardCredit(end.stream(), 1));
                }
            }
        } catch (EOFException | SocketException e) {
            System.out.println("The instance has closed the connection: " + e);
        }
        return complete;
    }

    @Override
    public void close() {
        try {
            mSocket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
