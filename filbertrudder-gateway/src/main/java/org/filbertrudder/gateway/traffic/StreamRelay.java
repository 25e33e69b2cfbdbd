package org.filbertrudder.gateway.traffic;

import io.vertx.core.buffer.Buffer;

/**
 * Passes a stream of server-sent events on by whole events.
 *
 * <p>A broken stream can go on at another endpoint after the last event that was passed on. Events
 * that a resumed run repeats are dropped; ids that go back in one run end the attempt.
 */
final class StreamRelay {

    private static final int MAX_EVENT_BYTES = 1024 * 1024;
    private static final byte[] ID_FIELD = {'i', 'd', ':'};
    private static final long NO_ID = -1;

    private final AnswerSink mSink;
    private Buffer mPending = Buffer.buffer();
    private int mScanned;
    private long mLastId;
    private boolean mResumed;
    private long mEvents;

    StreamRelay(AnswerSink sink, long lastEventId) {
        mSink = sink;
        mLastId = lastEventId;
    }

    /** Returns the id of the last event passed on; 0 if there was none. */
    long lastId() {
        return mLastId;
    }

    /** Returns the number of events passed on. */
    long events() {
        return mEvents;
    }

    /** Prepares for the answer of another attempt; a part of an event that came is dropped. */
    void restart() {
        mPending = Buffer.buffer();
        mScanned = 0;
        mResumed = true;
    }

    /**
     * Passes the events on that are complete.
     *
     * @return whether the bytes are a proper continuation of the stream
     */
    boolean data(Buffer data) {
        mPending.appendBuffer(data);
        int start = 0;
        Buffer out = Buffer.buffer();
        boolean proper = true;
        int end = eventEnd(mScanned);
        while (end >= 0 && proper) {
            proper = accept(start, end, out);
            start = end;
            end = eventEnd(start);
        }
        if (out.length() > 0) {
            mSink.write(out);
        }
        mPending = mPending.getBuffer(start, mPending.length());
        mScanned = Math.max(0, mPending.length() - 3);
        return proper && mPending.length() <= MAX_EVENT_BYTES;
    }

    private boolean accept(int start, int end, Buffer out) {
        long id = id(start, end);
        if (id != NO_ID) {
            if (id <= mLastId) {
                // A resumed run may repeat what the caller has already; a first one must not.
                return mResumed;
            }
            mLastId = id;
            mResumed = false;
        }
        out.appendBuffer(mPending, start, end - start);
        mEvents++;
        return true;
    }

    /** Returns the index after the next blank line; -1 if there is none yet. */
    private int eventEnd(int from) {
        for (int i = from; i + 1 < mPending.length(); i++) {
            if (mPending.getByte(i) != '\n') {
                continue;
            }
            if (mPending.getByte(i + 1) == '\n') {
                return i + 2;
            }
            boolean carriageReturn =
                    i + 2 < mPending.length()
                            && mPending.getByte(i + 1) == '\r'
                            && mPending.getByte(i + 2) == '\n';
            if (carriageReturn) {
                return i + 3;
            }
        }
        return -1;
    }

    private long id(int start, int end) {
        int line = start;
        while (line < end) {
            int next = line;
            while (next < end && mPending.getByte(next) != '\n') {
                next++;
            }
            if (isIdField(line, next)) {
                return number(line + ID_FIELD.length, next);
            }
            line = next + 1;
        }
        return NO_ID;
    }

    private boolean isIdField(int start, int end) {
        if (end - start < ID_FIELD.length) {
            return false;
        }
        for (int i = 0; i < ID_FIELD.length; i++) {
            if (mPending.getByte(start + i) != ID_FIELD[i]) {
                return false;
            }
        }
        return true;
    }

    private long number(int start, int end) {
        String text = mPending.getString(start, end).trim();
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return NO_ID;
        }
    }

    /** Returns whether the stream may end here: no event is incomplete. */
    boolean isAtEventBoundary() {
        return mPending.length() == 0;
    }
}
