package org.filbertrudder.gateway.traffic;

import java.util.function.Supplier;
import org.filbertrudder.entry.log.Field;
import org.filbertrudder.entry.log.PartLog;
import org.filbertrudder.gateway.config.AccountRule;
import org.filbertrudder.gateway.control.AllowanceDesk;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.gateway.control.GatewayControl;
import org.filbertrudder.policy.routing.PromptDemand;

/** Ends exchanges: sends the last words, returns unused tokens, writes the log line. */
final class ExchangeFinisher {

    private static final PartLog LOG = PartLog.of("request");
    private static final int STATUS_CALLER_LEFT = 499;

    private final GatewayControl mControl;
    private final Supplier<AllowanceDesk> mAllowances;
    private final GatewayMetrics mMetrics;

    ExchangeFinisher(GatewayControl control, GatewayMetrics metrics) {
        mControl = control;
        mAllowances = control::allowances;
        mMetrics = metrics;
    }

    /** Ends an exchange whose answer has been passed on whole. */
    void answered(GatewayExchange exchange, int status) {
        finish(exchange, status, "answered");
    }

    /** Ends an exchange with an answer of the gateway; one that has begun is cut off visibly. */
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

    /** Ends an exchange whose answer cannot be completed. */
    void breakOff(GatewayExchange exchange) {
        refuse(exchange, Refusal.incompleteResponse());
    }

    /** Ends an exchange whose caller has left. */
    void callerLeft(GatewayExchange exchange) {
        finish(exchange, STATUS_CALLER_LEFT, "caller-left");
    }

    private void finish(GatewayExchange exchange, int status, String outcome) {
        Attempt attempt = exchange.attempt();
        if (!exchange.markEnded()) {
            return;
        }
        if (attempt != null) {
            attempt.cancel();
        }
        settle(exchange);
        long tookMs = Clocks.steadyMs() - exchange.arrivalMs();
        mMetrics.counter("requests_" + outcome.replace('-', '_')).inc();
        mMetrics.latencyMs("request").update(tookMs);
        LOG.info(
                "Ended.",
                Field.of("id", exchange.head().requestId()),
                Field.of("route", exchange.route().name()),
                Field.of("account", exchange.account().map(AccountRule::id).orElse(null)),
                Field.of("outcome", outcome),
                Field.of("status", status),
                Field.of("ms", tookMs),
                Field.of("runs", exchange.runs()),
                Field.of("forwarded", exchange.forwarded()),
                Field.of(
                        "prompt", exchange.head().prompt().map(PromptDemand::summary).orElse(null)),
                Field.of("steps", exchange.traceText()),
                Field.of("version", mControl.snapshot().configuration().version()),
                Field.of("stateAgeMs", mControl.fence().ageMs(Clocks.now())));
    }

    private void settle(GatewayExchange exchange) {
        if (exchange.grant() != null && exchange.runs() == 0) {
            mAllowances.get().settle(exchange.grant(), exchange.grant().tokens());
        }
    }
}
