package org.filbertrudder.gateway.traffic;

import io.vertx.core.AsyncResult;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.filbertrudder.entry.traffic.HttpResponseSink;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.policy.connections.UnreadResponses;

/**
 * Sends a response to a caller over HTTP. While the instance is stopping, responses carry {@code
 * Connection: close} so that the caller reconnects to another instance.
 */
final class CallerResponseSink extends HttpResponseSink implements GatewayResponseSink {

    private final HttpServerResponse mResponse;
    private final HttpProtocol mProtocol;
    private final BooleanSupplier mStopping;
    private final OpenRequests.OpenRequest mOpenRequest;
    private final Optional<UnreadResponses.Response> mUnread;

    CallerResponseSink(
            HttpServerResponse response,
            HttpProtocol protocol,
            BooleanSupplier stopping,
            OpenRequests.OpenRequest openRequest,
            Optional<UnreadResponses.Response> unread) {
        super(response, Set.of());
        mResponse = response;
        mProtocol = protocol;
        mStopping = stopping;
        mOpenRequest = openRequest;
        mUnread = unread;
    }

    @Override
    public void write(Buffer data) {
        if (mUnread.isEmpty()) {
            super.write(data);
        } else if (!mResponse.closed() && !mResponse.ended() && data.length() > 0) {
            Future<Void> written = mResponse.write(data);
            mUnread.get().added(data.length(), Clocks.steadyMs());
            written.onComplete(result -> noteWritten(mUnread.get(), data.length(), result));
        }
    }

    private static void noteWritten(
            UnreadResponses.Response unread, long bytes, AsyncResult<Void> result) {
        if (result.succeeded()) {
            unread.taken(bytes, Clocks.steadyMs());
        } else {
            unread.close();
        }
    }

    @Override
    public boolean writeQueueFull() {
        return super.writeQueueFull()
                && mUnread.map(UnreadResponses.Response::mustPause).orElse(true);
    }

    @Override
    public void onDrain(Runnable action) {
        mUnread.ifPresent(unread -> unread.paused(action, Clocks.steadyMs()));
        super.onDrain(mUnread.<Runnable>map(unread -> unread::resume).orElse(action));
    }

    @Override
    public void end() {
        mUnread.ifPresent(UnreadResponses.Response::resume);
        if (!mResponse.closed() && !mResponse.ended()) {
            mOpenRequest.flushing(mResponse.end());
        }
    }

    @Override
    public void abort() {
        mOpenRequest.aborted();
        // What was written counts until it is sent or the connection has closed.
        mUnread.ifPresent(UnreadResponses.Response::resume);
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
