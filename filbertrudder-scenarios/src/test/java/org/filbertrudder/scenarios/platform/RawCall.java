package org.filbertrudder.scenarios.platform;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.filbertrudder.policy.membership.PeerAddress;

/** Sends bytes that no HTTP client would send. */
final class RawCall {

    private static final int TIMEOUT_MS = 10_000;
    private static final int MAX_ANSWER_BYTES = 8 * 1024;

    private RawCall() {}

    /** Returns what comes back first. */
    static String send(PeerAddress to, String text) {
        try (Socket socket = new Socket(to.host(), to.port())) {
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            byte[] answer = new byte[MAX_ANSWER_BYTES];
            int read = socket.getInputStream().read(answer);
            return read < 0 ? "" : new String(answer, 0, read, StandardCharsets.US_ASCII);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends a request, runs the action and closes the connection without reading anything. */
    static void sendAndDisconnect(PeerAddress to, String text, Runnable action) {
        try (Socket socket = new Socket(to.host(), to.port())) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            action.run();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
