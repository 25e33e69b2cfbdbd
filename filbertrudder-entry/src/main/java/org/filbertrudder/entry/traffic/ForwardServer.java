package org.filbertrudder.entry.traffic;

import io.vertx.core.buffer.Buffer;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.filbertrudder.entry.control.ControlSnapshot;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.model.Account;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.InvalidValueException;
import org.filbertrudder.model.Service;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.peer.PeerConnection;

/** Serves requests that instances in other regions forward; never forwards them again. */
final class ForwardServer {

    private static final ComponentLogger LOG = ComponentLogger.of("forwards");

    /** The credit with which the receiver of a response acknowledges its end. */
    static final long END_CREDIT_BYTES = 1;

    private static final long MAX_DELIVERY_WAIT_MS = 10_000;
    private static final long MAX_CATCH_UP_WAIT_MS = 1_000;
    private static final long CATCH_UP_CHECK_INTERVAL_MS = 50;
    private static final String SERVICES_PREFIX = "/services/";

    private final TrafficContext mContext;
    private final RequestFactory mRequestFactory;
    private final Consumer<Exchange> mServe;
    private final Consumer<Exchange> mCancel;
    private final Consumer<Exchange> mFail;
    private final Map<StreamKey, ForwardedResponseSink> mOpenStreams = new HashMap<>();
    private final Map<StreamKey, ForwardedResponseSink> mUndelivered = new LinkedHashMap<>();
    private int mWaitingRequests;

    ForwardServer(
            TrafficContext context,
            RequestFactory requestFactory,
            Consumer<Exchange> serve,
            Consumer<Exchange> cancel,
            Consumer<Exchange> fail) {
        mContext = context;
        mRequestFactory = requestFactory;
        mServe = serve;
        mCancel = cancel;
        mFail = fail;
    }

    void handle(PeerConnection connection, PeerMessage message) {
        if (message instanceof PeerMessage.ForwardStart start) {
            serveWhenUpToDate(connection, start, mContext.nowMs() + MAX_CATCH_UP_WAIT_MS);
        } else if (message instanceof PeerMessage.ForwardCancel cancel) {
            StreamKey key = new StreamKey(connection, cancel.stream());
            ForwardedResponseSink sink = mOpenStreams.get(key);
            if (sink != null) {
                sink.cancel();
            }
            stopWaitingForDelivery(key);
        } else if (message instanceof PeerMessage.ForwardCredit credit) {
            StreamKey key = new StreamKey(connection, credit.stream());
            ForwardedResponseSink sink = mOpenStreams.getOrDefault(key, mUndelivered.get(key));
            if (sink != null) {
                sink.credit(credit.bytes());
            }
        }
    }

    /**
     * Returns whether a response that has ended may not have reached the instance that forwarded
     * the request.
     */
    boolean hasUndeliveredResponses() {
        removeOverdueDeliveries();
        return !mUndelivered.isEmpty();
    }

    /** Gives up waiting for acknowledgements, which instances of older versions do not send. */
    private void removeOverdueDeliveries() {
        long endedBeforeMs = mContext.nowMs() - MAX_DELIVERY_WAIT_MS;
        mUndelivered.entrySet().stream()
                .takeWhile(entry -> entry.getValue().mEndedMs < endedBeforeMs)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(this::stopWaitingForDelivery);
    }

    private void stopWaitingForDelivery(StreamKey key) {
        ForwardedResponseSink sink = mUndelivered.remove(key);
        if (sink != null) {
            sink.mDeliveryCloseAction.unregister();
        }
    }

    /** Returns whether a request waits for the configuration that its sender has. */
    boolean hasWaitingRequests() {
        return mWaitingRequests > 0;
    }

    /**
     * Serves the request once this instance has at least the sender's configuration revision;
     * refuses it if that takes too long.
     */
    private void serveWhenUpToDate(
            PeerConnection connection, PeerMessage.ForwardStart start, long catchUpDeadlineMs) {
        ControlSnapshot snapshot = mContext.snapshot();
        boolean outOfDate = snapshot.configuration().revision() < start.revision();
        if (outOfDate && mContext.nowMs() < catchUpDeadlineMs) {
            mWaitingRequests++;
            mContext.vertx()
                    .setTimer(
                            CATCH_UP_CHECK_INTERVAL_MS,
                            timer -> {
                                mWaitingRequests--;
                                serveWhenUpToDate(connection, start, catchUpDeadlineMs);
                            });
            return;
        }
        ForwardedResponseSink sink = new ForwardedResponseSink(connection, start.stream());
        if (outOfDate) {
            ExchangeFinisher.send(
                    sink,
                    start.requestId(),
                    Refusal.unavailable(
                            "The configuration of the instance is out of date. Retry later."));
            return;
        }
        try {
            serve(connection, start, sink, snapshot.configuration());
        } catch (RefusedException e) {
            ExchangeFinisher.send(sink, start.requestId(), e.refusal());
        } catch (RuntimeException e) {
            // An exception that the connection sees would close it, with all other forwards.
            LOG.warn(
                    "Handling a forwarded request has failed.",
                    LogField.of("request", start.requestId()),
                    LogField.of("error", e));
            refuseAfterException(start, sink);
        }
    }

    private void refuseAfterException(PeerMessage.ForwardStart start, ForwardedResponseSink sink) {
        if (sink.mExchange == null) {
            ExchangeFinisher.send(sink, start.requestId(), Refusal.internalError(true));
        } else {
            mFail.accept(sink.mExchange);
        }
    }

    /** Refuses a request whose message has invalid fields. */
    void refuseUnreadable(PeerConnection connection, long stream) {
        LOG.warn("A malformed forwarded request is refused.", LogField.of("stream", stream));
        ExchangeFinisher.send(
                new ForwardedResponseSink(connection, stream),
                "none",
                Refusal.badRequest(
                        "malformed_request", "The forwarded request has an invalid field."));
    }

    private void serve(
            PeerConnection connection,
            PeerMessage.ForwardStart start,
            ForwardedResponseSink sink,
            Configuration configuration) {
        recheckAuthorization(start, configuration);
        int serviceEnd = start.uri().indexOf('/', SERVICES_PREFIX.length());
        Service service = service(start, serviceEnd, configuration);
        Exchange.Request request =
                mRequestFactory.forwardedRequest(start, service, start.uri().substring(serviceEnd));
        Exchange exchange = new Exchange(request, sink, mContext.nowMs());
        StreamKey key = new StreamKey(connection, start.stream());
        sink.mExchange = exchange;
        mOpenStreams.put(key, sink);
        PeerConnection.CloseAction closeAction = connection.onClose(sink::cancel);
        exchange.onEnd(
                () -> {
                    mOpenStreams.remove(key);
                    closeAction.unregister();
                });
        mServe.accept(exchange);
    }

    private static Service service(
            PeerMessage.ForwardStart start, int serviceEnd, Configuration configuration) {
        if (serviceEnd < 0) {
            throw new RefusedException(Refusal.noRegionAllowed());
        }
        try {
            String id = start.uri().substring(SERVICES_PREFIX.length(), serviceEnd);
            return configuration
                    .service(ServiceId.of(id))
                    .orElseThrow(() -> new RefusedException(Refusal.noRegionAllowed()));
        } catch (InvalidValueException e) {
            throw new RefusedException(Refusal.noRegionAllowed());
        }
    }

    /** Checks key and account again, as this instance may have a newer configuration. */
    private void recheckAuthorization(PeerMessage.ForwardStart start, Configuration configuration) {
        if (start.key() == null) {
            return;
        }
        if (configuration.apiKey(start.key()).isEmpty()) {
            throw new RefusedException(Refusal.keyWithdrawn(true));
        }
        Optional<Account> account = configuration.account(start.account());
        boolean allowed =
                account.isPresent() && account.get().allows(mContext.snapshot().self().region());
        if (!allowed) {
            throw new RefusedException(Refusal.noRegionAllowed());
        }
    }

    private record StreamKey(PeerConnection connection, long stream) {}

    /**
     * Sends a response to the instance that forwarded the request, with credit-based flow control.
     */
    private final class ForwardedResponseSink implements ResponseSink {

        private static final long WINDOW_BYTES = 256 * 1024;

        private final PeerConnection mConnection;
        private final long mStream;
        private Exchange mExchange;
        private boolean mHeadSent;
        private long mUncreditedBytes;
        private long mEndedMs;
        private PeerConnection.CloseAction mDeliveryCloseAction;
        private Runnable mDrainAction;

        ForwardedResponseSink(PeerConnection connection, long stream) {
            mConnection = connection;
            mStream = stream;
        }

        void cancel() {
            if (mExchange != null) {
                mCancel.accept(mExchange);
            }
        }

        void credit(long bytes) {
            mUncreditedBytes -= bytes;
            if (mUncreditedBytes <= 0) {
                stopWaitingForDelivery(new StreamKey(mConnection, mStream));
            }
            if (!writeQueueFull() && mDrainAction != null) {
                Runnable action = mDrainAction;
                mDrainAction = null;
                action.run();
            }
        }

        @Override
        public void sendHead(int status, Map<String, String> headers) {
            mHeadSent = true;
            mConnection.send(
                    new PeerMessage.ForwardHead(mStream, status, new LinkedHashMap<>(headers)));
        }

        @Override
        public boolean headSent() {
            return mHeadSent;
        }

        @Override
        public void write(Buffer data) {
            mUncreditedBytes += data.length();
            mConnection.send(new PeerMessage.ForwardData(mStream, data.getBytes()));
        }

        @Override
        public boolean writeQueueFull() {
            return mUncreditedBytes > WINDOW_BYTES;
        }

        @Override
        public void onDrain(Runnable action) {
            mDrainAction = action;
        }

        @Override
        public void end() {
            sendEnd(true);
        }

        @Override
        public void abort() {
            sendEnd(false);
        }

        private void sendEnd(boolean complete) {
            removeOverdueDeliveries();
            StreamKey key = new StreamKey(mConnection, mStream);
            mDrainAction = null;
            mExchange = null;
            mUncreditedBytes += END_CREDIT_BYTES;
            mEndedMs = mContext.nowMs();
            mUndelivered.put(key, this);
            mDeliveryCloseAction = mConnection.onClose(() -> mUndelivered.remove(key));
            mConnection.send(new PeerMessage.ForwardEnd(mStream, complete));
        }
    }
}
