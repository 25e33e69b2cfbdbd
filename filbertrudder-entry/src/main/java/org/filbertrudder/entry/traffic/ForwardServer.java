package org.filbertrudder.entry.traffic;

import io.vertx.core.buffer.Buffer;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.ForwardLog;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.model.Account;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.InvalidValueException;
import org.filbertrudder.model.Service;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.peer.forwarding.ForwardLink;
import org.filbertrudder.peer.forwarding.ForwardReceiver;
import org.filbertrudder.peer.forwarding.ForwardedResponse;

/** Serves requests that instances in other regions forward; never forwards them again. */
final class ForwardServer {

    private static final ComponentLogger LOG = ComponentLogger.of("forwards");

    private static final long MAX_CATCH_UP_WAIT_MS = 1_000;
    private static final long CATCH_UP_CHECK_INTERVAL_MS = 50;
    private static final String SERVICES_PREFIX = "/services/";

    private final TrafficContext mContext;
    private final RequestFactory mRequestFactory;
    private final Consumer<Exchange> mServe;
    private final Consumer<Exchange> mCancel;
    private final Consumer<Exchange> mFail;
    private final ForwardReceiver mReceiver;
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
        mReceiver = new ForwardReceiver(this::receive, context.clockMs(), ForwardLog::log);
    }

    void handle(ForwardLink from, PeerMessage message) {
        mReceiver.handle(from, message);
    }

    void tick() {
        mReceiver.tick(mContext.nowMs());
    }

    /**
     * Returns whether a response that has ended may not have reached the instance that forwarded
     * the request.
     */
    boolean hasUndelivered() {
        return mReceiver.hasUndelivered();
    }

    /**
     * Ends the output of the connections on which requests were forwarded, once no request runs.
     *
     * @return completes when the other instances have read the responses and closed the connections
     */
    CompletableFuture<Void> endConnections() {
        return mReceiver.endLinks();
    }

    /** Returns whether a request waits for the configuration that its sender has. */
    boolean hasWaitingRequests() {
        return mWaitingRequests > 0;
    }

    private void receive(PeerMessage.ForwardStart start, ForwardedResponse response) {
        serveWhenUpToDate(
                start, new ResponseToForward(response), mContext.nowMs() + MAX_CATCH_UP_WAIT_MS);
    }

    /**
     * Serves the request once this instance has at least the sender's configuration revision;
     * refuses it if that takes too long.
     */
    private void serveWhenUpToDate(
            PeerMessage.ForwardStart start, ResponseToForward sink, long catchUpDeadlineMs) {
        Configuration configuration = mContext.snapshot().configuration();
        boolean outOfDate = configuration.revision() < start.revision();
        if (outOfDate && mContext.nowMs() < catchUpDeadlineMs) {
            mWaitingRequests++;
            mContext.vertx()
                    .setTimer(
                            CATCH_UP_CHECK_INTERVAL_MS,
                            timer -> {
                                mWaitingRequests--;
                                serveWhenUpToDate(start, sink, catchUpDeadlineMs);
                            });
            return;
        }
        if (outOfDate) {
            ExchangeFinisher.send(
                    sink,
                    start.requestId(),
                    Refusal.unavailable(
                            "The configuration of the instance is out of date. Retry later."));
            return;
        }
        Exchange exchange;
        try {
            exchange = new Exchange(request(start, configuration), sink, mContext.nowMs());
        } catch (RefusedException e) {
            ExchangeFinisher.send(sink, start.requestId(), e.refusal());
            return;
        } catch (RuntimeException e) {
            logFailure(start, e);
            ExchangeFinisher.send(sink, start.requestId(), Refusal.internalError(true));
            return;
        }
        serve(start, exchange, sink.response());
    }

    private void serve(
            PeerMessage.ForwardStart start, Exchange exchange, ForwardedResponse response) {
        try {
            response.onCancel(() -> mCancel.accept(exchange));
            if (!exchange.ended()) {
                mServe.accept(exchange);
            }
        } catch (RuntimeException e) {
            logFailure(start, e);
            mFail.accept(exchange);
        }
    }

    /** Logs an exception; the connection would close, with all other forwards, if it saw it. */
    private static void logFailure(PeerMessage.ForwardStart start, RuntimeException failure) {
        LOG.warn(
                "Handling a forwarded request has failed.",
                LogField.of("request", start.requestId()),
                LogField.of("error", failure));
    }

    /** Refuses a request whose message has invalid fields. */
    void refuseUnreadable(ForwardLink from, long stream) {
        LOG.warn("A malformed forwarded request is refused.", LogField.of("stream", stream));
        ForwardedResponse response = mReceiver.start(from, stream);
        if (response != null) {
            ExchangeFinisher.send(
                    new ResponseToForward(response),
                    "none",
                    Refusal.badRequest(
                            "malformed_request", "The forwarded request has an invalid field."));
        }
    }

    private Exchange.Request request(PeerMessage.ForwardStart start, Configuration configuration) {
        recheckAuthorization(start, configuration);
        int serviceEnd = start.uri().indexOf('/', SERVICES_PREFIX.length());
        Service service = service(start, serviceEnd, configuration);
        return mRequestFactory.forwardedRequest(start, service, start.uri().substring(serviceEnd));
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

    /** Sends a response to the instance that forwarded the request. */
    private record ResponseToForward(ForwardedResponse response) implements ResponseSink {

        @Override
        public void sendHead(int status, Map<String, String> headers) {
            response.sendHead(status, new LinkedHashMap<>(headers));
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
    }
}
