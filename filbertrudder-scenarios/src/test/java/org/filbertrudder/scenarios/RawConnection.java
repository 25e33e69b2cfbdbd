package org.filbertrudder.scenarios;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** Sends bytes that no HTTP client would send. */
final class RawConnection {

    private static final int TIMEOUT_MS = 15_000;

    private RawConnection() {}

    /** Sends the text, optionally closes the sending side, and returns what comes back. */
    static String exchange(int port, String text, boolean halfClose) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            if (halfClose) {
                socket.shutdownOutput();
            }
            return readAnswer(socket.getInputStream());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends the text, waits for the event and closes the connection without reading. */
    static void sendAndLeave(int port, String text, Runnable event) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            event.run();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String readAnswer(InputStream input) throws IOException {
        ByteArrayOutputStream answer = new ByteArrayOutputStream();
        byte[] buffer = new byte[4_096];
        try {
            int read = input.read(buffer);
            while (read >= 0) {
                answer.write(buffer, 0, read);
                String text = answer.toString(StandardCharsets.ISO_8859_1);
                if (text.contains("\"request_id\"") && text.endsWith("}}")) {
                    return text;
                }
                read = input.read(buffer);
            }
        } catch (SocketTimeoutException e) {
            return answer.toString(StandardCharsets.ISO_8859_1);
        }
        return answer.toString(StandardCharsets.ISO_8859_1);
    }
}
