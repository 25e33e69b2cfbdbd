package org.filbertrudder.entry.traffic;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Relays the response of an endpoint so that the receiver gets all of it or detects that it is
 * incomplete.
 *
 * <p>Server-sent events are relayed whole and counted, so that a broken stream can be resumed after
 * the last event. Short responses are buffered and relayed only when they are complete.
 */
final class ResponseRelay {

    private static final String EVENT_STREAM_TYPE = "text/event-stream";
    private static final String LAST_EVENT_DATA = "data: [DONE]";
    private static final String ERROR_EVENT_START = "event: error";
    private static final int STATUS_OK = 200;
    private static final int MAX_BUFFERED_BYTES = 1024 * 1024;

    /** The longest event that is awaited to its end, in bytes. */
    static final int MAX_EVENT_BYTES = 256 * 1024;

    private static final Set<String> HEADERS_NOT_RELAYED =
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
    private final Runnable mOnQueueFull;
    private Mode mMode = Mode.BUFFERED;
    private RecordParser mEventParser;
    private Buffer mBufferedBody = Buffer.buffer();
    private int mStatus;
    private Map<String, String> mHeaders = Map.of();
    private long mEventCount;
    private boolean mLastEventRelayed;
    private boolean mEventTooLong;

    /** Creates a relay; the action runs when the write queue of the receiver is full. */
    ResponseRelay(Exchange exchange, Runnable onQueueFull) {
        mExchange = exchange;
        mOnQueueFull = onQueueFull;
        mEventCount = exchange.request().resumeOffset();
    }

    /** Returns how many events the caller has received in all, for resuming the stream. */
    long eventsSent() {
        return mEventCount;
    }

    int status() {
        return mStatus;
    }

    /** Returns whether nothing has been sent yet, so that another attempt can replace this one. */
    boolean replaceable() {
        return !mExchange.sink().headSent();
    }

    /** Returns whether the response is a stream that can be resumed after the last event. */
    boolean resumable() {
        return mMode == Mode.EVENT_STREAM;
    }

    void head(int status, Map<String, String> headers) {
        mStatus = status;
        mHeaders = new LinkedHashMap<>(headers);
        mHeaders.keySet().removeAll(HEADERS_NOT_RELAYED);
        String type = headers.getOrDefault("content-type", "");
        if (type.startsWith(EVENT_STREAM_TYPE)) {
            startEventStream();
        } else if (declaredLength(headers) > MAX_BUFFERED_BYTES) {
            mMode = Mode.PASS_THROUGH;
            mExchange.sink().sendHead(status, mHeaders);
        } else {
            mMode = Mode.BUFFERED;
            mBufferedBody = Buffer.buffer();
        }
    }

    /** Returns whether a response continues a stream after a number of events. */
    static boolean continuesAfter(long events, int status, Map<String, String> headers) {
        return status == STATUS_OK
                && Long.toString(events).equals(headers.get(Exchange.RESUME_OFFSET_HEADER))
                && headers.getOrDefault("content-type", "").startsWith(EVENT_STREAM_TYPE);
    }

    private static long declaredLength(Map<String, String> headers) {
        String length = headers.get("content-length");
        return length == null ? 0 : Long.parseLong(length);
    }

    private void startEventStream() {
        mMode = Mode.EVENT_STREAM;
        mEventTooLong = false;
        mHeaders.remove("content-length");
        mEventParser =
                RecordParser.newDelimited("\n\n", this::relayEvent)
                        .maxRecordSize(MAX_EVENT_BYTES)
                        .exceptionHandler(ignored -> mEventTooLong = true);
        if (!mExchange.sink().headSent()) {
            mExchange.sink().sendHead(mStatus, mHeaders);
        }
    }

    private void relayEvent(Buffer event) {
        mExchange.sink().write(event.copy().appendString("\n\n"));
        mEventCount++;
        String text = event.toString();
        if (text.startsWith(LAST_EVENT_DATA) || text.startsWith(ERROR_EVENT_START)) {
            mLastEventRelayed = true;
        } else {
            mExchange.addUsedToken();
        }
        pauseIfQueueFull();
    }

    /** Relays or buffers data; returns false if it belongs to an event that is too long. */
    boolean data(Buffer data) {
        switch (mMode) {
            case EVENT_STREAM -> mEventParser.handle(data);
            case PASS_THROUGH -> {
                mExchange.sink().write(data);
                pauseIfQueueFull();
            }
            default -> buffer(data);
        }
        return !mEventTooLong;
    }

    private void buffer(Buffer data) {
        mBufferedBody.appendBuffer(data);
        if (mBufferedBody.length() > MAX_BUFFERED_BYTES) {
            mMode = Mode.PASS_THROUGH;
            mExchange.sink().sendHead(mStatus, mHeaders);
            mExchange.sink().write(mBufferedBody);
            mBufferedBody = Buffer.buffer();
            pauseIfQueueFull();
        }
    }

    private void pauseIfQueueFull() {
        if (mExchange.sink().writeQueueFull()) {
            mOnQueueFull.run();
        }
    }

    /** Handles the end of the response body; returns false if the response is incomplete. */
    boolean end() {
        if (mMode == Mode.EVENT_STREAM && !mLastEventRelayed) {
            return false;
        }
        if (mMode == Mode.BUFFERED) {
            long declared = declaredLength(mHeaders);
            boolean hasBody = !"HEAD".equals(mExchange.request().method());
            if (hasBody && declared > 0 && declared != mBufferedBody.length()) {
                return false;
            }
            sendBuffered(hasBody);
        }
        mExchange.sink().end();
        return true;
    }

    private void sendBuffered(boolean hasBody) {
        if (hasBody) {
            mHeaders.put("content-length", Integer.toString(mBufferedBody.length()));
        }
        mExchange.sink().sendHead(mStatus, mHeaders);
        if (mBufferedBody.length() > 0) {
            mExchange.sink().write(mBufferedBody);
        }
    }

    /** Returns the buffered body, which is complete once the attempt has ended. */
    Buffer bufferedBody() {
        return mBufferedBody;
    }

    boolean isBuffered() {
        return mMode == Mode.BUFFERED;
    }

    Map<String, String> headers() {
        return mHeaders;
    }

    private enum Mode {
        BUFFERED,
        PASS_THROUGH,
        EVENT_STREAM
    }
}
