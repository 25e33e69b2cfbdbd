package org.filbertrudder.scenarios.platform;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.filbertrudder.policy.membership.PeerAddress;
import org.filbertrudder.standins.platform.ArrivalLog;

/** Sends one request after another on an open connection and tells how much of each answer came. */
final class KeepAliveConnection implements AutoCloseable {

    private static final int CONNECT_TIMEOUT_MS = 2_000;
    private static final int READ_TIMEOUT_MS = 15_000;
    private static final String LENGTH = "\r\ncontent-length:";
    private static final int STATUS_NO_CONTENT = 204;

    private final Socket mSocket = new Socket();
    private final InputStream mInput;

    /** Connects to an instance. */
    KeepAliveConnection(PeerAddress address) throws IOException {
        mSocket.setTcpNoDelay(true);
        mSocket.setSoTimeout(READ_TIMEOUT_MS);
        try {
            mSocket.connect(
                    new InetSocketAddress(address.host(), address.port()), CONNECT_TIMEOUT_MS);
            mInput = new BufferedInputStream(mSocket.getInputStream());
        } catch (IOException e) {
            mSocket.close();
            throw e;
        }
    }

    /** Lists how an exchange ended. */
    enum End {
        /** The response is whole. */
        WHOLE,
        /** The connection ended after a part of the response. */
        CUT,
        /** The connection ended before the first byte of the response. */
        CLOSED,
        /** The connection ended before the request was sent. */
        NOT_SENT,
        /** The response did not go on, and the connection stayed open. */
        SILENT
    }

    /**
     * Holds the result of an exchange.
     *
     * @param sentMs when the last byte of the request was sent
     * @param endedMs when the last byte of the response or the end of the connection was received
     * @param status the HTTP status; 0 without a head
     * @param reusable whether the connection may be used for another request
     */
    record Exchange(
            End end, long sentMs, long endedMs, int status, String body, boolean reusable) {}

    /** Sends a request and waits for the end of the response or of the connection. */
    Exchange exchange(String request) {
        long sentMs = ArrivalLog.nowMs();
        try {
            mSocket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            return new Exchange(End.NOT_SENT, sentMs, ArrivalLog.nowMs(), 0, e.toString(), false);
        }
        sentMs = ArrivalLog.nowMs();
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        End end;
        try {
            end = read(head, body) ? End.WHOLE : head.size() == 0 ? End.CLOSED : End.CUT;
        } catch (SocketTimeoutException e) {
            end = End.SILENT;
        } catch (IOException e) {
            end = head.size() == 0 ? End.CLOSED : End.CUT;
        }
        long endedMs = ArrivalLog.nowMs();
        String text = head.toString(StandardCharsets.US_ASCII);
        boolean hasStatus = text.matches("(?s)HTTP/1\\.1 \\d{3}.*");
        boolean closes = text.toLowerCase(Locale.ROOT).contains("\r\nconnection: close\r\n");
        return new Exchange(
                end,
                sentMs,
                endedMs,
                hasStatus ? Integer.parseInt(text.substring(9, 12)) : 0,
                body.toString(StandardCharsets.UTF_8),
                end == End.WHOLE && !closes);
    }

    /** Returns whether the response is whole; false if the connection ends before. */
    private boolean read(ByteArrayOutputStream head, ByteArrayOutputStream body)
            throws IOException {
        while (!head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
            if (!copy(1, head)) {
                return false;
            }
        }
        String text = head.toString(StandardCharsets.US_ASCII).toLowerCase(Locale.ROOT);
        if (text.contains("\r\ntransfer-encoding: chunked\r\n")) {
            return readChunks(body);
        }
        int length = text.indexOf(LENGTH);
        if (length < 0) {
            return text.startsWith("http/1.1 " + STATUS_NO_CONTENT);
        }
        int start = length + LENGTH.length();
        String value = text.substring(start, text.indexOf('\r', start)).trim();
        return copy(Integer.parseInt(value), body);
    }

    private boolean readChunks(ByteArrayOutputStream body) throws IOException {
        while (true) {
            String line = readLine();
            if (line == null) {
                return false;
            }
            int size = Integer.parseInt(line, 16);
            if (!copy(size, body)) {
                return false;
            }
            String end = readLine();
            if (end == null || size == 0) {
                return end != null;
            }
        }
    }

    /** Returns the next line without its end, or null if the connection ends before. */
    private String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (!line.toString(StandardCharsets.US_ASCII).endsWith("\r\n")) {
            if (!copy(1, line)) {
                return null;
            }
        }
        return line.toString(StandardCharsets.US_ASCII).trim();
    }

    private boolean copy(int length, ByteArrayOutputStream target) throws IOException {
        for (int i = 0; i < length; i++) {
            int next = mInput.read();
            if (next < 0) {
                return false;
            }
            target.write(next);
        }
        return true;
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
