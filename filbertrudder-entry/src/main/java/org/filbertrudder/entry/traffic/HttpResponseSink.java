package org.filbertrudder.entry.traffic;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.Map;
import java.util.Set;

/** Sends a response to a caller over HTTP. */
public class HttpResponseSink implements ResponseSink {

    /** Headers between instances, or between an instance and an endpoint. */
    private static final Set<String> INTERNAL_HEADERS =
            Set.of(Exchange.RESUME_OFFSET_HEADER, Exchange.NOT_RUN_HEADER);

    private final HttpServerResponse mResponse;
    private final Set<String> mWithheldHeaders;
    private boolean mHeadSent;

    /** Creates a sink that writes to the given server response. */
    public HttpResponseSink(HttpServerResponse response) {
        this(response, INTERNAL_HEADERS);
    }

    /** Creates a sink that does not send the headers with the given names. */
    protected HttpResponseSink(HttpServerResponse response, Set<String> withheldHeaders) {
        mResponse = response;
        mWithheldHeaders = withheldHeaders;
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
        if (!mWithheldHeaders.contains(name)) {
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
