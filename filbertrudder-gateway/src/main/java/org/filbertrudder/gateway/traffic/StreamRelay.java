package org.filbertrudder.gateway.traffic;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Relays a stream of server-sent events, passing on only complete events.
 *
 * <p>An interrupted stream can be resumed at another endpoint after the last event that was
 * relayed. Events that a resumed run repeats are dropped; ids that do not increase within one run
 * end the attempt.
 */
final class StreamRelay {

    private static final int MAX_EVENT_BYTES = 64 * 1024;
    private static final byte[] ID_FIELD = {'i', 'd', ':'};
    private static final int BLANK_LINE_OVERLAP_BYTES = 3;
    private static final long NO_ID = -1;

    private final GatewayResponseSink mSink;

    /** Holds the bytes received of the next event; grows by factors, as pieces may be short. */
    private byte[] mPending = {};

    private int mPendingBytes;
    private int mScannedBytes;
    private long mLastId;
    private boolean mResumed;
    private long mEvents;

    StreamRelay(GatewayResponseSink sink, long lastEventId) {
        mSink = sink;
        mLastId = lastEventId;
    }

    /** Returns the id of the last event that the caller has received; 0 if there is none. */
    long lastId() {
        return mLastId;
    }

    /** Returns the number of relayed events; blocks with only comments do not count. */
    long events() {
        return mEvents;
    }

    /** Prepares for the response of another attempt; a partially received event is dropped. */
    void restart() {
        mPendingBytes = 0;
        mScannedBytes = 0;
        mResumed = true;
    }

    /**
     * Relays the events that the data completes.
     *
     * @return whether the data is a valid continuation of the stream
     */
    boolean receive(Buffer data) {
        append(data);
        Buffer completeEvents = Buffer.buffer();
        boolean valid = true;
        int start = 0;
        int end = eventEnd(mScannedBytes);
        while (end >= 0 && valid) {
            valid = relayEvent(mPending, start, end, completeEvents);
            start = end;
            end = eventEnd(start);
        }
        if (completeEvents.length() > 0) {
            mSink.write(completeEvents);
        }
        discard(start);
        mScannedBytes = Math.max(0, mPendingBytes - BLANK_LINE_OVERLAP_BYTES);
        return valid && mPendingBytes <= MAX_EVENT_BYTES;
    }

    private void append(Buffer data) {
        int length = mPendingBytes + data.length();
        if (length > mPending.length) {
            mPending = Arrays.copyOf(mPending, Math.max(length, 2 * mPending.length));
        }
        data.getBytes(mPending, mPendingBytes);
        mPendingBytes = length;
    }

    private void discard(int bytes) {
        mPendingBytes -= bytes;
        if (mPendingBytes == 0) {
            mPending = new byte[0];
        } else if (bytes > 0) {
            System.arraycopy(mPending, bytes, mPending, 0, mPendingBytes);
        }
    }

    private boolean relayEvent(byte[] bytes, int start, int end, Buffer completeEvents) {
        long id = eventId(bytes, start, end);
        if (id == NO_ID && mResumed && !isCommentBlock(bytes, start, end)) {
            // Its place after the events that the caller has received is not known.
            return false;
        }
        if (id != NO_ID) {
            if (id <= mLastId) {
                // Only a resumed run may repeat events that the caller has received, and only
                // before its first new event.
                return mResumed;
            }
            mLastId = id;
            mResumed = false;
        }
        completeEvents.appendBytes(bytes, start, end - start);
        if (!isCommentBlock(bytes, start, end)) {
            mEvents++;
        }
        return true;
    }

    /**
     * Returns whether a block consists only of comments, which serve to keep the connection open.
     */
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
    private int eventEnd(int from) {
        for (int i = from; i + 1 < mPendingBytes; i++) {
            if (mPending[i] != '\n') {
                continue;
            }
            if (mPending[i + 1] == '\n') {
                return i + 2;
            }
            if (i + 2 < mPendingBytes && mPending[i + 1] == '\r' && mPending[i + 2] == '\n') {
                return i + 3;
            }
        }
        return -1;
    }

    private static long eventId(byte[] bytes, int start, int end) {
        int lineStart = start;
        while (lineStart < end) {
            int lineEnd = lineStart;
            while (lineEnd < end && bytes[lineEnd] != '\n') {
                lineEnd++;
            }
            boolean isIdField =
                    lineEnd - lineStart >= ID_FIELD.length
                            && Arrays.equals(
                                    bytes,
                                    lineStart,
                                    lineStart + ID_FIELD.length,
                                    ID_FIELD,
                                    0,
                                    ID_FIELD.length);
            if (isIdField) {
                return parseId(bytes, lineStart + ID_FIELD.length, lineEnd);
            }
            lineStart = lineEnd + 1;
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

    /** Returns whether no partially received event is pending, so that the stream may end here. */
    boolean isAtEventBoundary() {
        return mPendingBytes == 0;
    }
}
