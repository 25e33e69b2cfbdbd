package org.filbertrudder.entry.traffic;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Passes an endpoint's answer on, so that the receiver gets all of it or can tell that it did not.
 *
 * <p>Server-sent events are passed on whole and counted, so that a broken stream can be resumed
 * after the last event. Short answers are passed on only when they are complete.
 */
final class AnswerRelay {

    private static final String EVENT_STREAM = "text/event-stream";
    private static final String LAST_EVENT = "data: [DONE]";
    private static final String ERROR_EVENT = "event: error";
    private static final int MAX_BUFFERED_BYTES = 1024 * 1024;
    private static final Set<String> DROPPED_HEADERS =
            Set.of(
                    "connection",
                    "keep-alive",
                    "transfer-encoding",
                    "upgrade",
                    "proxy-authenticate",
                    "trailer",
                    "server",
                    Exchange.NOT_RUN_HEADER);

    private final Exchange mExchange;
    private final Runnable mOnFull;
    private Mode mMode = Mode.BUFFERED;
    private RecordParser mEvents;
    private Buffer mBuffered = Buffer.buffer();
    private int mStatus;
    private Map<String, String> mHeaders = Map.of();
    private long mEventsSent;
    private boolean mLastEventSeen;

    /** Creates a relay; the action pauses the attempt while the receiver is slow. */
    AnswerRelay(Exchange exchange, Runnable onFull) {
        mExchange = exchange;
        mOnFull = onFull;
        mEventsSent = exchange.incoming().resumeOffset();
    }

    /** Returns how many events the caller has got in all, for resuming the stream. */
    long eventsSent() {
        return mEventsSent;
    }

    int status() {
        return mStatus;
    }

    /** Returns whether the attempt's answer can still be replaced by that of another attempt. */
    boolean replaceable() {
        return !mExchange.sink().headSent();
    }

    /** Returns whether the answer is a stream that can be resumed after the last event. */
    boolean resumable() {
        return mMode == Mode.EVENTS;
    }

    void head(int status, Map<String, String> headers) {
        mStatus = status;
        mHeaders = new LinkedHashMap<>(headers);
        mHeaders.keySet().removeAll(DROPPED_HEADERS);
        String type = headers.getOrDefault("content-type", "");
        if (type.startsWith(EVENT_STREAM)) {
            startEvents();
        } else if (declaredLength(headers) > MAX_BUFFERED_BYTES) {
            mMode = Mode.PIPED;
            mExchange.sink().head(status, mHeaders);
        } else {
            mMode = Mode.BUFFERED;
            mBuffered = Buffer.buffer();
        }
    }

    private static long declaredLength(Map<String, String> headers) {
        String length = headers.get("content-length");
        return length == null ? 0 : Long.parseLong(length);
    }

    private void startEvents() {
        mMode = Mode.EVENTS;
        mHeaders.remove("content-length");
        mEvents = RecordParser.newDelimited("\n\n", this::passEvent);
        if (!mExchange.sink().headSent()) {
            mExchange.sink().head(mStatus, mHeaders);
        }
    }

    private void passEvent(Buffer event) {
        mExchange.sink().write(event.copy().appendString("\n\n"));
        mEventsSent++;
        String text = event.toString();
        if (text.startsWith(LAST_EVENT) || text.startsWith(ERROR_EVENT)) {
            mLastEventSeen = true;
        } else {
            mExchange.addUsedToken();
        }
        checkFull();
    }

    void data(Buffer data) {
        switch (mMode) {
            case EVENTS -> mEvents.handle(data);
            case PIPED -> {
                mExchange.sink().write(data);
                checkFull();
            }
            default -> buffer(data);
        }
    }

    private void buffer(Buffer data) {
        mBuffered.appendBuffer(data);
        if (mBuffered.length() > MAX_BUFFERED_BYTES) {
            mMode = Mode.PIPED;
            mExchange.sink().head(mStatus, mHeaders);
            mExchange.sink().write(mBuffered);
            mBuffered = Buffer.buffer();
            checkFull();
        }
    }

    private void checkFull() {
        if (mExchange.sink().full()) {
            mOnFull.run();
        }
    }

    /** Handles the regular end; returns whether the answer was whole. */
    boolean end() {
        if (mMode == Mode.EVENTS && !mLastEventSeen) {
            return false;
        }
        if (mMode == Mode.BUFFERED) {
            long declared = declaredLength(mHeaders);
            boolean hasBody = !"HEAD".equals(mExchange.incoming().method());
            if (hasBody && declared > 0 && declared != mBuffered.length()) {
                return false;
            }
            sendBuffered(hasBody);
        }
        mExchange.sink().end();
        return true;
    }

    private void sendBuffered(boolean hasBody) {
        if (hasBody) {
            mHeaders.put("content-length", Integer.toString(mBuffered.length()));
        }
        mExchange.sink().head(mStatus, mHeaders);
        if (mBuffered.length() > 0) {
            mExchange.sink().write(mBuffered);
        }
    }

    /** Returns the body of a short answer, which is complete once the attempt has ended. */
    Buffer buffered() {
        return mBuffered;
    }

    boolean isBuffered() {
        return mMode == Mode.BUFFERED;
    }

    Map<String, String> headers() {
        return mHeaders;
    }

    private enum Mode {
        BUFFERED,
        PIPED,
        EVENTS
    }
}
