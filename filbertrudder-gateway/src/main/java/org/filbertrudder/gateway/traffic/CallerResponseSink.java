package org.filbertrudder.gateway.traffic;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.filbertrudder.entry.traffic.HttpSink;

/**
 * Sends a response to a caller over HTTP. While the instance is stopping, responses carry {@code
 * Connection: close} so that the caller reconnects elsewhere.
 */
final class CallerResponseSink extends HttpSink implements GatewayResponseSink {

    private final HttpServerResponse mResponse;
    private final HttpProtocol mProtocol;
    private final BooleanSupplier mStopping;

    CallerResponseSink(
            HttpServerResponse response, HttpProtocol protocol, BooleanSupplier stopping) {
        super(response);
        mResponse = response;
        mProtocol = protocol;
        mStopping = stopping;
    }

    @Override
    public void head(int status, Map<String, String> headers) {
        if (mStopping.getAsBoolean() && !mResponse.closed()) {
            mResponse.putHeader("connection", "close");
        }
        super.head(status, headers);
    }

    @Override
    public void refuse(Refusal refusal) {
        if (mResponse.closed() || mResponse.ended()) {
            return;
        }
        if (refusal.retryAfterMs() > 0) {
            mResponse.putHeader(
                    mProtocol.retryAfterHeader(), mProtocol.retryAfter(refusal.retryAfterMs()));
        }
        if (refusal.leavesBodyUnread()) {
            mResponse.putHeader("connection", "close");
        }
        Buffer body = Buffer.buffer(refusal.body());
        head(
                refusal.status(),
                Map.of(
                        "content-type",
                        "application/json",
                        "content-length",
                        Integer.toString(body.length())));
        write(body);
        end();
    }
}
