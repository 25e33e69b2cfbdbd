package org.filbertrudder.gateway.traffic;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Passes a stream of server-sent events on by whole events.
 *
 * <p>A broken stream can go on at another endpoint after the last event that was passed on. Events
 * that a resumed run repeats are dropped; ids that go back in one run end the attempt.
 */
final class StreamRelay {

    private static final int MAX_EVENT_BYTES = 64 * 1024;
    private static final byte[] ID_FIELD = {'i', 'd', ':'};
    private static final int BLANK_LINE_OVERLAP_BYTES = 3;
    private static final long NO_ID = -1;

    private final GatewayResponseSink mSink;
    private byte[] mPending = {};
    private int mScannedBytes;
    private long mLastId;
    private boolean mResumed;
    private long mEvents;

    StreamRelay(GatewayResponseSink sink, long lastEventId) {
        mSink = sink;
        mLastId = lastEventId;
    }

    /** Returns the id of the last event passed on; 0 if there was none. */
    long lastId() {
        return mLastId;
    }

    /** Returns the number of events passed on; blocks of comments are none. */
    long events() {
        return mEvents;
    }

    /** Prepares for the answer of another attempt; a part of an event that came is dropped. */
    void restart() {
        mPending = new byte[0];
        mScannedBytes = 0;
        mResumed = true;
    }

    /**
     * Passes the events on that are complete.
     *
     * @return whether the bytes are a valid continuation of the stream
     */
    boolean receive(Buffer data) {
        byte[] bytes = withPending(data.getBytes());
        Buffer out = Buffer.buffer();
        boolean valid = true;
        int start = 0;
        int end = eventEnd(bytes, mScannedBytes);
        while (end >= 0 && valid) {
            valid = relayEvent(bytes, start, end, out);
            start = end;
            end = eventEnd(bytes, start);
        }
        if (out.length() > 0) {
            mSink.write(out);
        }
        mPending = Arrays.copyOfRange(bytes, start, bytes.length);
        mScannedBytes = Math.max(0, mPending.length - BLANK_LINE_OVERLAP_BYTES);
        return valid && mPending.length <= MAX_EVENT_BYTES;
    }

    private byte[] withPending(byte[] data) {
        if (mPending.length == 0) {
            return data;
        }
        byte[] joined = Arrays.copyOf(mPending, mPending.length + data.length);
        System.arraycopy(data, 0, joined, mPending.length, data.length);
        return joined;
    }

    private boolean relayEvent(byte[] bytes, int start, int end, Buffer out) {
        long id = eventId(bytes, start, end);
        if (id != NO_ID) {
            if (id <= mLastId) {
                // A resumed run may repeat what the caller has already; a first one must not.
                return mResumed;
            }
            mLastId = id;
            mResumed = false;
        }
        out.appendBytes(bytes, start, end - start);
        if (!isCommentBlock(bytes, start, end)) {
            mEvents++;
        }
        return true;
    }

    /** Returns whether a block has no line but comments, which keep a connection open only. */
    private static boolean isCommentBlock(byte[] bytes, int start, int end) {
        boolean lineStart = true;
        for (int i = start; i < end; i++) {
            if (lineStart && bytes[i] != ':' && bytes[i] != '\r' && bytes[i] != '\n') {
                return false;
            }
            lineStart = bytes[i] == '\n';
        }
        return true;
    }

    /** Returns the index after the next blank line; -1 if there is none yet. */
    private static int eventEnd(byte[] bytes, int from) {
        for (int i = from; i + 1 < bytes.length; i++) {
            if (bytes[i] != '\n') {
                continue;
            }
            if (bytes[i + 1] == '\n') {
                return i + 2;
            }
            if (i + 2 < bytes.length && bytes[i + 1] == '\r' && bytes[i + 2] == '\n') {
                return i + 3;
            }
        }
        return -1;
    }

    private static long eventId(byte[] bytes, int start, int end) {
        int line = start;
        while (line < end) {
            int next = line;
            while (next < end && bytes[next] != '\n') {
                next++;
            }
            boolean isId =
                    next - line >= ID_FIELD.length
                            && Arrays.equals(
                                    bytes,
                                    line,
                                    line + ID_FIELD.length,
                                    ID_FIELD,
                                    0,
                                    ID_FIELD.length);
            if (isId) {
                return parseId(bytes, line + ID_FIELD.length, next);
            }
            line = next + 1;
        }
        return NO_ID;
    }

    private static long parseId(byte[] bytes, int start, int end) {
        String text = new String(bytes, start, end - start, StandardCharsets.US_ASCII).trim();
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return NO_ID;
        }
    }

    /** Returns whether the stream may end here: no event is incomplete. */
    boolean isAtEventBoundary() {
        return mPending.length == 0;
    }
}
