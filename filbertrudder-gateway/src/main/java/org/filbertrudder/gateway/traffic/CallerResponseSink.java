package org.filbertrudder.gateway.traffic;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.filbertrudder.entry.traffic.HttpResponseSink;

/**
 * Sends a response to a caller over HTTP. While the instance is stopping, responses carry {@code
 * Connection: close} so that the caller reconnects to another instance.
 */
final class CallerResponseSink extends HttpResponseSink implements GatewayResponseSink {

    private final HttpServerResponse mResponse;
    private final HttpProtocol mProtocol;
    private final BooleanSupplier mStopping;
    private final OpenRequests.OpenRequest mOpenRequest;

    CallerResponseSink(
            HttpServerResponse response,
            HttpProtocol protocol,
            BooleanSupplier stopping,
            OpenRequests.OpenRequest openRequest) {
        super(response);
        mResponse = response;
        mProtocol = protocol;
        mStopping = stopping;
        mOpenRequest = openRequest;
    }

    @Override
    public void end() {
        if (!mResponse.closed() && !mResponse.ended()) {
            mOpenRequest.flushing(mResponse.end());
        }
    }

    @Override
    public void abort() {
        mOpenRequest.aborted();
        super.abort();
    }

    @Override
    public void sendHead(int status, Map<String, String> headers) {
        if (mStopping.getAsBoolean() && !mResponse.closed()) {
            mResponse.putHeader("connection", "close");
        }
        super.sendHead(status, headers);
    }

    @Override
    public void refuse(GatewayRefusal refusal) {
        if (mResponse.closed() || mResponse.ended()) {
            return;
        }
        if (refusal.retryAfterMs() > 0) {
            mResponse.putHeader(
                    mProtocol.retryAfterHeaderName(),
                    mProtocol.formatRetryAfter(refusal.retryAfterMs()));
        }
        if (refusal.leavesBodyUnread() || mOpenRequest.isRestOfBodyLong()) {
            mResponse.putHeader("connection", "close");
            mOpenRequest.closeWhenDone();
        }
        Buffer body = Buffer.buffer(refusal.body());
        sendHead(
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
