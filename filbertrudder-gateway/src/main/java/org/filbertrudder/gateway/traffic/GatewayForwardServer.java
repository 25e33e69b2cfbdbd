package org.filbertrudder.gateway.traffic;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.model.InvalidValueException;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.peer.PeerConnection;

/** Receives requests that other instances forward and sends the responses back. */
final class GatewayForwardServer {

    private static final ComponentLogger LOG = ComponentLogger.of("forwards");

    /** The header with the id of the last event that the caller received of this response. */
    static final String RESUME_AFTER = "x-resume-after";

    /** The header with the service that the sender's configuration has chosen. */
    static final String SERVICE = "x-forward-service";

    /**
     * The flow-control window: the bytes of a response that may be sent before the peer grants
     * credit.
     */
    private static final long WINDOW_BYTES = 256 * 1024;

    /** The number of received bytes after which the peer grants credit for them. */
    static final long CREDIT_STEP_BYTES = 64 * 1024;

    /** The interval between keep-alives on connections with open requests, in milliseconds. */
    private static final long KEEP_ALIVE_INTERVAL_MS = 500;

    private final RequestAcceptor mRequestAcceptor;
    private final Consumer<GatewayExchange> mOnCancel;
    private final HeldBodies mBodies;
    private final Map<StreamKey, ForwardSink> mSinks = new HashMap<>();
    private final Set<PeerConnection> mConnections = new HashSet<>();
    private long mNextKeepAliveMs;

    GatewayForwardServer(
            RequestAcceptor requestAcceptor,
            Consumer<GatewayExchange> onCancel,
            HeldBodies bodies) {
        mRequestAcceptor = requestAcceptor;
        mOnCancel = onCancel;
        mBodies = bodies;
    }

    /** Handles a message of another instance. */
    void handle(PeerConnection from, PeerMessage message) {
        if (message instanceof PeerMessage.ForwardStart start) {
            receive(from, start);
        } else if (message instanceof PeerMessage.ForwardCancel cancel) {
            ForwardSink sink = mSinks.get(new StreamKey(from, cancel.stream()));
            if (sink != null) {
                sink.cancel();
            }
        } else if (message instanceof PeerMessage.ForwardCredit credit) {
            ForwardSink sink = mSinks.get(new StreamKey(from, credit.stream()));
            if (sink != null) {
                sink.credit(credit.bytes());
            }
        }
    }

    /** Sends keep-alives to the instances that wait for responses. */
    void tick(long nowMs) {
        if (nowMs < mNextKeepAliveMs) {
            return;
        }
        mNextKeepAliveMs = nowMs + KEEP_ALIVE_INTERVAL_MS;
        Set<PeerConnection> connectionsInUse = new HashSet<>();
        mSinks.keySet().forEach(key -> connectionsInUse.add(key.connection()));
        connectionsInUse.forEach(connection -> connection.send(new PeerMessage.ForwardKeepAlive()));
    }

    /**
     * Ends the output of the connections on which requests were forwarded, once no request runs.
     *
     * @return completes when the other instances have read the responses and closed the connections
     */
    CompletableFuture<Void> endConnections() {
        return CompletableFuture.allOf(
                mConnections.stream()
                        .map(GatewayForwardServer::endConnection)
                        .toArray(CompletableFuture<?>[]::new));
    }

    /** Requests that arrive from now on cannot be refused, so their sender is told in advance. */
    private static CompletableFuture<Void> endConnection(PeerConnection connection) {
        connection.send(new PeerMessage.ForwardsEnd());
        return connection.endOutput();
    }

    /**
     * Removes and returns the id of the event after which the response is resumed.
     *
     * @throws MalformedRequestException if the id is not a non-negative number
     */
    static OptionalLong removeResumeAfter(MultiMap headers) {
        String text = headers.get(RESUME_AFTER);
        headers.remove(RESUME_AFTER);
        if (text == null) {
            return OptionalLong.empty();
        }
        try {
            long id = Long.parseLong(text);
            if (id >= 0) {
                return OptionalLong.of(id);
            }
        } catch (NumberFormatException e) {
            // Reported below, like a negative number.
        }
        throw new MalformedRequestException(
                "The header " + RESUME_AFTER + " must be a non-negative number.");
    }

    /**
     * Removes and returns the service that the sender has chosen; empty if it names none.
     *
     * @throws MalformedRequestException if it is not the name of a service
     */
    static Optional<ServiceId> removeService(MultiMap headers) {
        String name = headers.get(SERVICE);
        headers.remove(SERVICE);
        try {
            return Optional.ofNullable(name).map(ServiceId::of);
        } catch (InvalidValueException e) {
            throw new MalformedRequestException("The header " + SERVICE + " is invalid.");
        }
    }

    /** Refuses a request whose message has invalid fields. */
    void refuseUnreadable(PeerConnection from, long stream) {
        LOG.warn("A malformed forwarded request is refused.", LogField.of("stream", stream));
        new ForwardSink(new StreamKey(from, stream))
                .refuse(GatewayRefusal.malformed("The forwarded request has an invalid field."));
    }

    private void receive(PeerConnection from, PeerMessage.ForwardStart start) {
        if (mConnections.add(from)) {
            from.onClose(() -> mConnections.remove(from));
        }
        StreamKey key = new StreamKey(from, start.stream());
        ForwardSink sink = new ForwardSink(key);
        mSinks.put(key, sink);
        sink.mCloseAction = from.onClose(sink::cancel);
        if (!sink.mHold.tryAdd(start.body().length)) {
            sink.refuse(GatewayRefusal.overloaded(CallerServer.BODIES_RETRY_AFTER_MS));
            return;
        }
        try {
            MultiMap headers = MultiMap.caseInsensitiveMultiMap();
            start.headers().forEach(headers::add);
            mRequestAcceptor.accept(start, headers, sink).ifPresent(sink::attach);
        } catch (RuntimeException e) {
            // An exception that the connection sees would close it, with all other forwards.
            LOG.warn(
                    "Handling a forwarded request has failed.",
                    LogField.of("id", start.requestId()),
                    LogField.of("error", e));
            sink.refuse(GatewayRefusal.internalError(true));
        }
    }

    private record StreamKey(PeerConnection connection, long stream) {}

    /** Creates the exchange of a forwarded request, or sends a refusal to the sink. */
    @FunctionalInterface
    interface RequestAcceptor {

        /**
         * Returns the exchange; empty if the request was refused. Raises an exception only before
         * the request may run.
         */
        Optional<GatewayExchange> accept(
                PeerMessage.ForwardStart start, MultiMap headers, GatewayResponseSink sink);
    }

    /**
     * Sends a response to the instance that forwarded the request, limited by the credit that it
     * grants.
     */
    private final class ForwardSink implements GatewayResponseSink {

        private final StreamKey mKey;
        private PeerConnection.CloseAction mCloseAction;
        private GatewayExchange mExchange;
        private boolean mCancelled;
        private boolean mHeadSent;
        private long mUncreditedBytes;
        private final HeldBodies.Hold mHold = mBodies.newHold();
        private Runnable mOnDrain;

        ForwardSink(StreamKey key) {
            mKey = key;
        }

        void attach(GatewayExchange exchange) {
            mExchange = exchange;
            if (mCancelled) {
                mOnCancel.accept(exchange);
            }
        }

        void cancel() {
            mCancelled = true;
            finish();
            if (mExchange != null) {
                mOnCancel.accept(mExchange);
            }
        }

        private void finish() {
            mHold.release();
            mSinks.remove(mKey);
            if (mCloseAction != null) {
                mCloseAction.unregister();
            }
        }

        void credit(long bytes) {
            mUncreditedBytes -= bytes;
            if (!writeQueueFull() && mOnDrain != null) {
                Runnable action = mOnDrain;
                mOnDrain = null;
                action.run();
            }
        }

        private void send(PeerMessage message) {
            if (!mCancelled) {
                mKey.connection().send(message);
            }
        }

        @Override
        public void sendHead(int status, Map<String, String> headers) {
            mHeadSent = true;
            send(new PeerMessage.ForwardHead(mKey.stream(), status, headers));
        }

        @Override
        public boolean headSent() {
            return mHeadSent;
        }

        @Override
        public void write(Buffer data) {
            mUncreditedBytes += data.length();
            send(new PeerMessage.ForwardData(mKey.stream(), data.getBytes()));
        }

        @Override
        public boolean writeQueueFull() {
            return mUncreditedBytes > WINDOW_BYTES;
        }

        @Override
        public void onDrain(Runnable action) {
            mOnDrain = action;
        }

        @Override
        public void end() {
            finish();
            send(new PeerMessage.ForwardEnd(mKey.stream(), true));
        }

        @Override
        public void abort() {
            finish();
            send(new PeerMessage.ForwardEnd(mKey.stream(), false));
        }

        @Override
        public void refuse(GatewayRefusal refusal) {
            if (mHeadSent) {
                abort();
                return;
            }
            sendHead(refusal.status(), new HashMap<>(ForwardHeaders.forRefusal(refusal)));
            end();
        }
    }
}
