package org.filbertrudder.scenarios;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** Sends raw bytes over TCP, for requests that an HTTP client would not send. */
final class RawTcpClient {

    private static final int TIMEOUT_MS = 15_000;

    private RawTcpClient() {}

    /**
     * Sends the request, optionally closes the output side, and returns the response up to the end
     * of the connection, the end of an error body or the timeout.
     */
    static String exchange(int port, String request, boolean halfClose) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            if (halfClose) {
                socket.shutdownOutput();
            }
            return readResponse(socket.getInputStream());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends the request, runs the action and closes the connection without reading a response. */
    static void sendAndDisconnect(int port, String request, Runnable action) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            action.run();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String readResponse(InputStream input) throws IOException {
        ByteArrayOutputStream response = new ByteArrayOutputStream();
        byte[] buffer = new byte[4_096];
        try {
            int read = input.read(buffer);
            while (read >= 0) {
                response.write(buffer, 0, read);
                String received = response.toString(StandardCharsets.ISO_8859_1);
                if (received.contains("\"request_id\"") && received.endsWith("}}")) {
                    return received;
                }
                read = input.read(buffer);
            }
        } catch (SocketTimeoutException e) {
            return response.toString(StandardCharsets.ISO_8859_1);
        }
        return response.toString(StandardCharsets.ISO_8859_1);
    }
}
