package org.filbertrudder.gateway.traffic;

import io.vertx.core.buffer.Buffer;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.ForwardLog;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.model.message.ForwardRecords;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.peer.forwarding.ForwardLink;
import org.filbertrudder.peer.forwarding.ForwardReceiver;
import org.filbertrudder.peer.forwarding.ForwardedResponse;
import org.filbertrudder.peer.forwarding.HeldBytes;

/** Receives requests that other instances forward and sends the responses back. */
final class GatewayForwardServer {

    private static final ComponentLogger LOG = ComponentLogger.of("forwards");

    private final RequestAcceptor mRequestAcceptor;
    private final Consumer<GatewayExchange> mOnCancel;
    private final HeldBytes mBodies;
    private final ForwardReceiver mReceiver;

    GatewayForwardServer(
            RequestAcceptor requestAcceptor, Consumer<GatewayExchange> onCancel, HeldBytes bodies) {
        mRequestAcceptor = requestAcceptor;
        mOnCancel = onCancel;
        mBodies = bodies;
        mReceiver = new ForwardReceiver(this::receive, Clocks::steadyMs, ForwardLog::log);
    }

    /** Handles a message of another instance. */
    void handle(ForwardLink from, PeerMessage message) {
        mReceiver.handle(from, message);
    }

    void tick(long nowMs) {
        mReceiver.tick(nowMs);
    }

    /**
     * Ends the output of the connections on which requests were forwarded, once no request runs.
     *
     * @return completes when the other instances have read the responses and closed the connections
     */
    CompletableFuture<Void> endConnections() {
        return mReceiver.endLinks();
    }

    /** Refuses a request whose message has invalid fields. */
    void refuseUnreadable(ForwardLink from, long stream) {
        LOG.warn("A malformed forwarded request is refused.", LogField.of("stream", stream));
        ForwardedResponse response = mReceiver.start(from, stream);
        if (response != null) {
            new ForwardSink(response)
                    .refuse(
                            GatewayRefusal.malformed(
                                    "The forwarded request has an invalid field."));
        }
    }

    private void receive(PeerMessage.ForwardStart start, ForwardedResponse response) {
        ForwardSink sink = new ForwardSink(response);
        HeldBytes.Hold body = mBodies.newHold();
        response.onClose(body::release);
        if (!body.tryAdd(start.body().length)) {
            sink.refuse(GatewayRefusal.overloaded(CallerServer.BODIES_RETRY_AFTER_MS));
            return;
        }
        try {
            mRequestAcceptor
                    .accept(start, response.senderVersion(), sink)
                    .ifPresent(exchange -> response.onCancel(() -> mOnCancel.accept(exchange)));
        } catch (RuntimeException e) {
            // An exception that the connection sees would close it, with all other forwards.
            LOG.warn(
                    "Handling a forwarded request has failed.",
                    LogField.of("id", start.requestId()),
                    LogField.of("error", e));
            sink.refuse(GatewayRefusal.internalError(true));
        }
    }

    /** Creates the exchange of a forwarded request, or sends a refusal to the sink. */
    @FunctionalInterface
    interface RequestAcceptor {

        /**
         * Returns the exchange; empty if the request was refused. Raises an exception only before
         * the request may run.
         */
        Optional<GatewayExchange> accept(
                PeerMessage.ForwardStart start, int senderVersion, GatewayResponseSink sink);
    }

    /** Sends a response to the instance that forwarded the request. */
    private record ForwardSink(ForwardedResponse response) implements GatewayResponseSink {

        @Override
        public void sendHead(int status, Map<String, String> headers) {
            boolean earlier = EarlierForwardFormat.isUsedBy(response.senderVersion());
            response.sendHead(
                    status, earlier ? EarlierForwardFormat.writeHeaders(headers) : headers);
        }

        @Override
        public boolean headSent() {
            return response.headSent();
        }

        @Override
        public void write(Buffer data) {
            response.write(data);
        }

        @Override
        public boolean writeQueueFull() {
            return response.writeQueueFull();
        }

        @Override
        public void onDrain(Runnable action) {
            response.onDrain(action);
        }

        @Override
        public void end() {
            response.end(true);
        }

        @Override
        public void abort() {
            response.end(false);
        }

        @Override
        public void refuse(GatewayRefusal refusal) {
            if (headSent()) {
                abort();
                return;
            }
            ForwardRecords.Refusal stated =
                    new ForwardRecords.Refusal(
                            refusal.code(), refusal.notRun(), refusal.retryAfterMs());
            if (EarlierForwardFormat.isUsedBy(response.senderVersion())) {
                response.sendHead(refusal.status(), EarlierForwardFormat.writeRefusal(stated));
            } else {
                response.sendHead(refusal.status(), Map.of(), stated);
            }
            end();
        }
    }
}
