package org.filbertrudder.scenarios;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Connects to a caller port over TCP, to control when each byte is sent and read. */
final class RawCallerConnection implements AutoCloseable {

    /** What is read in place of a response when the connection was reset. */
    static final String RESET = "connection reset";

    private static final int READ_TIMEOUT_MS = 30_000;

    private final Socket mSocket;

    private RawCallerConnection(Socket socket) {
        mSocket = socket;
    }

    /** Opens a connection. */
    static RawCallerConnection open(int port) {
        return open(new Socket(), port);
    }

    /**
     * Opens a connection whose receive buffer is small, so that unread bytes stay at the sender.
     */
    static RawCallerConnection openWithReceiveBuffer(int port, int bytes) {
        try {
            Socket socket = new Socket();
            socket.setReceiveBufferSize(bytes);
            return open(socket, port);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static RawCallerConnection open(Socket socket, int port) {
        try {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(READ_TIMEOUT_MS);
            socket.connect(new InetSocketAddress("127.0.0.1", port));
            return new RawCallerConnection(socket);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends bytes. */
    void send(String bytes) {
        try {
            mSocket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            mSocket.getOutputStream().flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns everything that is received until the connection ends. */
    String readToEnd() {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        byte[] buffer = new byte[4_096];
        try {
            for (int read = 0; read >= 0; read = mSocket.getInputStream().read(buffer)) {
                received.write(buffer, 0, read);
            }
            return received.toString(StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            return received.toString(StandardCharsets.ISO_8859_1) + RESET;
        }
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
