package org.filbertrudder.entry.traffic;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.Map;

/** Sends a response to a caller over HTTP. */
public class HttpResponseSink implements ResponseSink {

    private final HttpServerResponse mResponse;
    private boolean mHeadSent;

    /** Creates a sink that writes to the given server response. */
    public HttpResponseSink(HttpServerResponse response) {
        mResponse = response;
    }

    @Override
    public void sendHead(int status, Map<String, String> headers) {
        if (!mResponse.closed() && !mResponse.ended()) {
            setHead(status, headers);
        }
        mHeadSent = true;
    }

    /** Sets the head; after an exception, another one may be set. */
    private void setHead(int status, Map<String, String> headers) {
        try {
            mResponse.setStatusCode(status);
            headers.forEach(this::putHeader);
        } catch (IllegalArgumentException e) {
            mResponse.headers().clear();
            throw e;
        }
        if (!headers.containsKey("content-length")) {
            mResponse.setChunked(true);
        }
    }

    private void putHeader(String name, String value) {
        boolean internal =
                name.equals(Exchange.RESUME_OFFSET_HEADER) || name.equals(Exchange.NOT_RUN_HEADER);
        if (!internal) {
            mResponse.putHeader(name, value);
        }
    }

    @Override
    public boolean headSent() {
        return mHeadSent;
    }

    @Override
    public void write(Buffer data) {
        if (!mResponse.closed() && !mResponse.ended() && data.length() > 0) {
            mResponse.write(data);
        }
    }

    @Override
    public boolean writeQueueFull() {
        return mResponse.writeQueueFull();
    }

    @Override
    public void onDrain(Runnable action) {
        mResponse.drainHandler(
                ignored -> {
                    mResponse.drainHandler(null);
                    action.run();
                });
    }

    @Override
    public void end() {
        if (!mResponse.closed() && !mResponse.ended()) {
            mResponse.end();
        }
    }

    @Override
    public void abort() {
        mResponse.reset();
    }
}
