package org.filbertrudder.scenarios.platform;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.filbertrudder.policy.membership.PeerAddress;

/** Sends raw bytes over TCP, for requests that an HTTP client would not send. */
final class RawTcpClient {

    private static final int TIMEOUT_MS = 10_000;
    private static final int MAX_RESPONSE_BYTES = 8 * 1024;

    private RawTcpClient() {}

    /**
     * Sends a request and returns the first bytes of the response, empty at the end of the stream.
     */
    static String send(PeerAddress address, String request) {
        try (Socket socket = new Socket(address.host(), address.port())) {
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            byte[] response = new byte[MAX_RESPONSE_BYTES];
            int read = socket.getInputStream().read(response);
            return read < 0 ? "" : new String(response, 0, read, StandardCharsets.US_ASCII);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends a request, runs the action and closes the connection without reading a response. */
    static void sendAndDisconnect(PeerAddress address, String request, Runnable action) {
        try (Socket socket = new Socket(address.host(), address.port())) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            action.run();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
