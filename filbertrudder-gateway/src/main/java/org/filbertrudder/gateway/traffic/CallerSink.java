package org.filbertrudder.gateway.traffic;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.Map;
import java.util.function.BooleanSupplier;

/** Sends an answer to a caller over HTTP. */
final class CallerSink implements AnswerSink {

    private final HttpServerResponse mResponse;
    private final HttpProtocol mProtocol;
    private final BooleanSupplier mStopping;
    private boolean mHeadSent;

    CallerSink(HttpServerResponse response, HttpProtocol protocol, BooleanSupplier stopping) {
        mResponse = response;
        mProtocol = protocol;
        mStopping = stopping;
    }

    @Override
    public void head(int status, Map<String, String> headers) {
        mHeadSent = true;
        if (isClosed()) {
            return;
        }
        mResponse.setStatusCode(status);
        headers.forEach(mResponse::putHeader);
        if (mStopping.getAsBoolean()) {
            mResponse.putHeader("connection", "close");
        }
        if (!headers.containsKey("content-length")) {
            mResponse.setChunked(true);
        }
    }

    private boolean isClosed() {
        return mResponse.closed() || mResponse.ended();
    }

    @Override
    public boolean headSent() {
        return mHeadSent;
    }

    @Override
    public void write(Buffer data) {
        if (!isClosed() && data.length() > 0) {
            mResponse.write(data);
        }
    }

    @Override
    public boolean full() {
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
        if (!isClosed()) {
            mResponse.end();
        }
    }

    @Override
    public void abort() {
        if (!mResponse.closed()) {
            mResponse.reset();
        }
    }

    @Override
    public void refuse(Refusal refusal) {
        mHeadSent = true;
        if (isClosed()) {
            return;
        }
        mResponse.setStatusCode(refusal.status()).putHeader("content-type", "application/json");
        if (refusal.retryAfterMs() > 0) {
            mResponse.putHeader(
                    mProtocol.retryAfterHeader(), mProtocol.retryAfter(refusal.retryAfterMs()));
        }
        if (mStopping.getAsBoolean() || refusal.status() == 413 || refusal.status() == 501) {
            mResponse.putHeader("connection", "close");
        }
        mResponse.end(refusal.body());
    }
}
