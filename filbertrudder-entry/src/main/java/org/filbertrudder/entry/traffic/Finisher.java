package org.filbertrudder.entry.traffic;

import io.vertx.core.buffer.Buffer;
import java.util.Map;
import java.util.function.Supplier;
import org.filbertrudder.entry.control.TokenDesk;
import org.filbertrudder.entry.log.Field;
import org.filbertrudder.entry.log.PartLog;

/** Ends exchanges: tells the receiver, settles the tokens and counts the outcome. */
final class Finisher {

    private static final PartLog LOG = PartLog.of("request");

    private final Supplier<TokenDesk> mTokens;
    private final TrafficMetrics mMetrics;

    Finisher(Supplier<TokenDesk> tokens, TrafficMetrics metrics) {
        mTokens = tokens;
        mMetrics = metrics;
    }

    /** Ends an exchange whose answer has been passed on in full. */
    void complete(Exchange exchange) {
        if (end(exchange)) {
            mMetrics.completed();
            LOG.debug("Answered.", Field.of("request", exchange.incoming().requestId()));
        }
    }

    /** Ends an exchange with a refusal, as a last event if the answer has already begun. */
    void refuse(Exchange exchange, Refusal refusal) {
        if (!end(exchange)) {
            return;
        }
        mMetrics.refused(refusal.code());
        LOG.info(
                "Refused.",
                Field.of("request", exchange.incoming().requestId()),
                Field.of("account", exchange.incoming().account()),
                Field.of("code", refusal.code()),
                Field.of("not_run", refusal.notRun()));
        send(exchange.sink(), exchange.incoming().requestId(), refusal);
    }

    /** Sends a refusal; a stream that has begun gets it as its last event, then breaks off. */
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
        sink.head(refusal.status(), headers);
        sink.write(body);
        sink.end();
    }

    /** Ends an exchange whose answer cannot be completed or explained to the receiver. */
    void abort(Exchange exchange) {
        if (end(exchange)) {
            mMetrics.refused("aborted");
            exchange.sink().abort();
        }
    }

    /** Ends an exchange whose caller has left. */
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
            mTokens.get().settle(exchange.grant(), exchange.unusedTokens());
        }
        exchange.runEndActions();
        return true;
    }
}
