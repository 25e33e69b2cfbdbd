package org.filbertrudder.entry.traffic;

import io.vertx.core.buffer.Buffer;
import java.util.Map;
import java.util.function.Supplier;
import org.filbertrudder.entry.control.TokenReservationService;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;

/** Ends exchanges: sends refusals, settles reserved tokens and counts outcomes. */
final class ExchangeFinisher {

    private static final ComponentLogger LOG = ComponentLogger.of("request");

    private final Supplier<TokenReservationService> mTokenReservations;
    private final TrafficMetrics mMetrics;

    ExchangeFinisher(Supplier<TokenReservationService> tokenReservations, TrafficMetrics metrics) {
        mTokenReservations = tokenReservations;
        mMetrics = metrics;
    }

    /** Ends an exchange whose response has been sent completely. */
    void complete(Exchange exchange) {
        if (end(exchange)) {
            mMetrics.completed();
            LOG.debug(
                    "A request is completed.",
                    LogField.of("request", exchange.request().requestId()));
        }
    }

    /** Ends an exchange with a refusal, sent as an error event if the response has begun. */
    void refuse(Exchange exchange, Refusal refusal) {
        if (!end(exchange)) {
            return;
        }
        mMetrics.refused(refusal.code());
        LOG.info(
                "A request is refused.",
                LogField.of("request", exchange.request().requestId()),
                LogField.of("account", exchange.request().account()),
                LogField.of("code", refusal.code()),
                LogField.of("not_run", refusal.notRun()));
        send(exchange.sink(), exchange.request().requestId(), refusal);
    }

    /** Ends an exchange whose handling has raised an exception. */
    void fail(Exchange exchange) {
        refuse(exchange, Refusal.internalError(!exchange.mayHaveRun()));
    }

    /** Sends a refusal; if the response has begun, as its last server-sent event. */
    static void send(ResponseSink sink, String requestId, Refusal refusal) {
        String json = refusal.toJson(requestId);
        if (sink.headSent()) {
            sink.write(Buffer.buffer("event: error\ndata: " + json + "\n\n"));
            sink.end();
            return;
        }
        Map<String, String> headers = refusal.headers();
        Buffer body = Buffer.buffer(json);
        headers.put("content-length", Integer.toString(body.length()));
        headers.put(Exchange.REQUEST_ID_HEADER, requestId);
        headers.put(Exchange.NOT_RUN_HEADER, Boolean.toString(refusal.notRun()));
        sink.sendHead(refusal.status(), headers);
        sink.write(body);
        sink.end();
    }

    /** Aborts a response that has begun and can neither be completed nor carry a refusal. */
    void abort(Exchange exchange) {
        if (end(exchange)) {
            mMetrics.refused("aborted");
            exchange.sink().abort();
        }
    }

    /** Ends an exchange whose caller has closed the connection or cancelled the request. */
    void cancel(Exchange exchange) {
        if (end(exchange)) {
            mMetrics.cancelled();
        }
    }

    private boolean end(Exchange exchange) {
        if (!exchange.markEnded()) {
            return false;
        }
        if (exchange.upstream() != null) {
            exchange.upstream().cancel();
        }
        if (exchange.grant() != null) {
            mTokenReservations.get().settle(exchange.grant(), exchange.unusedTokens());
        }
        exchange.runEndActions();
        return true;
    }
}
