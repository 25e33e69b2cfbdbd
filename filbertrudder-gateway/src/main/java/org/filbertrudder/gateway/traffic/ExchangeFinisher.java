package org.filbertrudder.gateway.traffic;

import java.util.function.Supplier;
import org.filbertrudder.entry.log.Field;
import org.filbertrudder.entry.log.PartLog;
import org.filbertrudder.gateway.config.AccountRule;
import org.filbertrudder.gateway.control.AllowanceDesk;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.gateway.control.GatewayControl;
import org.filbertrudder.policy.routing.PromptDemand;

/**
 * Ends exchanges: sends a refusal if needed, returns unused tokens, updates metrics and writes the
 * log line.
 */
final class ExchangeFinisher {

    private static final PartLog LOG = PartLog.of("request");
    private static final int STATUS_CLIENT_CLOSED_REQUEST = 499;

    private final GatewayControl mControl;
    private final Supplier<AllowanceDesk> mAllowances;
    private final GatewayMetrics mMetrics;

    ExchangeFinisher(GatewayControl control, GatewayMetrics metrics) {
        mControl = control;
        mAllowances = control::allowances;
        mMetrics = metrics;
    }

    /** Ends an exchange whose response has been passed on completely. */
    void answered(GatewayExchange exchange, int status) {
        finish(exchange, status, "answered");
    }

    /**
     * Ends an exchange with a refusal. A response whose head was sent is aborted instead, so that
     * the caller detects that it is incomplete.
     */
    void refuse(GatewayExchange exchange, Refusal refusal) {
        if (exchange.ended()) {
            return;
        }
        finish(exchange, refusal.status(), refusal.code());
        if (exchange.sink().headSent()) {
            exchange.sink().abort();
        } else {
            exchange.sink().refuse(refusal);
        }
    }

    /** Ends an exchange whose response cannot be completed. */
    void failIncomplete(GatewayExchange exchange) {
        refuse(exchange, Refusal.incompleteResponse());
    }

    /** Ends an exchange whose caller has closed the connection. */
    void callerDisconnected(GatewayExchange exchange) {
        finish(exchange, STATUS_CLIENT_CLOSED_REQUEST, "caller-left");
    }

    private void finish(GatewayExchange exchange, int status, String outcome) {
        Attempt attempt = exchange.attempt();
        if (!exchange.markEnded()) {
            return;
        }
        if (attempt != null) {
            attempt.cancel();
        }
        returnUnusedTokens(exchange);
        long durationMs = Clocks.steadyMs() - exchange.arrivedMs();
        mMetrics.counter("requests_" + outcome.replace('-', '_')).inc();
        mMetrics.latencyMs("request").update(durationMs);
        LOG.info(
                "Ended.",
                Field.of("id", exchange.head().requestId()),
                Field.of("route", exchange.route().name()),
                Field.of("account", exchange.account().map(AccountRule::id).orElse(null)),
                Field.of("outcome", outcome),
                Field.of("status", status),
                Field.of("ms", durationMs),
                Field.of("runs", exchange.runs()),
                Field.of("forwarded", exchange.forwarded()),
                Field.of(
                        "prompt", exchange.head().prompt().map(PromptDemand::summary).orElse(null)),
                Field.of("steps", exchange.traceText()),
                Field.of("version", mControl.snapshot().configuration().version()),
                Field.of("stateAgeMs", mControl.fence().ageMs(Clocks.now())));
    }

    private void returnUnusedTokens(GatewayExchange exchange) {
        if (exchange.grant() != null && exchange.runs() == 0) {
            mAllowances.get().settle(exchange.grant(), exchange.grant().tokens());
        }
    }
}
