package org.filbertrudder.gateway.traffic;

import java.util.Optional;
import java.util.function.Supplier;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.gateway.config.AccountRule;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.gateway.control.GatewayControl;
import org.filbertrudder.gateway.control.GatewayTokenReservationService;
import org.filbertrudder.gateway.traffic.RequestSizes.SizeClass;
import org.filbertrudder.policy.routing.PromptDemand;

/**
 * Ends exchanges: sends a refusal if needed, returns unused tokens, updates metrics and writes the
 * log line.
 */
final class GatewayExchangeFinisher {

    private static final ComponentLogger LOG = ComponentLogger.of("request");
    private static final int STATUS_CLIENT_CLOSED_REQUEST = 499;

    private final GatewayControl mControl;
    private final Supplier<GatewayTokenReservationService> mTokenReservations;
    private final GatewayMetrics mMetrics;
    private final RequestSizes mSizes = new RequestSizes();

    GatewayExchangeFinisher(GatewayControl control, GatewayMetrics metrics) {
        mControl = control;
        mTokenReservations = control::tokenReservations;
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
    void refuse(GatewayExchange exchange, GatewayRefusal refusal) {
        if (exchange.ended()) {
            return;
        }
        finish(exchange, refusal.status(), refusal.code());
        try {
            if (exchange.sink().headSent()) {
                exchange.sink().abort();
            } else {
                exchange.sink().refuse(refusal);
            }
        } catch (RuntimeException | Error e) {
            log(exchange, e);
            exchange.sink().abort();
        }
    }

    /** Ends an exchange whose response cannot be completed. */
    void failIncomplete(GatewayExchange exchange) {
        refuse(exchange, GatewayRefusal.incompleteResponse());
    }

    /** Runs a step of a request; an exception that it raises ends just this request. */
    void runStep(GatewayExchange exchange, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            failAfterException(exchange, e);
        }
    }

    /** Logs an exception that a step of a request has raised, and ends the request. */
    void failAfterException(GatewayExchange exchange, Throwable exception) {
        log(exchange, exception);
        failAfterException(exchange);
    }

    private static void log(GatewayExchange exchange, Throwable exception) {
        LOG.warn(
                "A step of a request has failed.",
                LogField.of("id", exchange.head().requestId()),
                LogField.of("step", exchange.step()),
                LogField.of("error", exception));
    }

    /** Ends an exchange whose handling has raised an exception. */
    void failAfterException(GatewayExchange exchange) {
        refuse(exchange, GatewayRefusal.internalError(exchange.runs() == 0));
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
        exchange.endActions().forEach(action -> runEndStep(exchange, action));
        if (attempt != null) {
            runEndStep(exchange, attempt::cancel);
        }
        runEndStep(exchange, () -> returnUnusedTokens(exchange));
        runEndStep(exchange, () -> record(exchange, status, outcome));
    }

    /** Runs a step that follows the end of a request; the others, and its answer, go on. */
    private static void runEndStep(GatewayExchange exchange, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            log(exchange, e);
        }
    }

    /** Updates the metrics and writes the log line. */
    private void record(GatewayExchange exchange, int status, String outcome) {
        long durationMs = Clocks.steadyMs() - exchange.arrivedMs();
        String outcomeName = outcome.replace('-', '_');
        mMetrics.counter("requests_" + outcomeName).inc();
        mMetrics.latencyMs("request").update(durationMs);
        Optional<SizeClass> size = sizeClass(exchange);
        size.ifPresent(each -> mMetrics.counter(each.label() + "_" + outcomeName).inc());
        LOG.info(
                "Ended.",
                LogField.of("id", exchange.head().requestId()),
                LogField.of("route", exchange.route().name()),
                LogField.of("account", exchange.account().map(AccountRule::id).orElse(null)),
                LogField.of("outcome", outcome),
                LogField.of("status", status),
                LogField.of("ms", durationMs),
                LogField.of("runs", exchange.runs()),
                LogField.of("forwarded", exchange.forwarded()),
                LogField.of("origin", exchange.origin().orElse(null)),
                LogField.of("region", mControl.snapshot().self().region()),
                LogField.of("homes", exchange.allowedRegions()),
                LogField.of(
                        "prompt",
                        exchange.head().promptDemand().map(PromptDemand::summary).orElse(null)),
                LogField.of("size", size.map(SizeClass::label).orElse(null)),
                LogField.of("events", exchange.events()),
                LogField.of("generatingMs", exchange.generatingMs()),
                LogField.of("steps", exchange.traceText()),
                LogField.of("sentBy", exchange.sendStatesText()),
                LogField.of("version", mControl.snapshot().configuration().version()),
                LogField.of("stateAgeMs", mControl.stateFreshness().ageMs(Clocks.now())));
    }

    /** Returns the size class of a prompt that this instance has received from its caller. */
    private Optional<SizeClass> sizeClass(GatewayExchange exchange) {
        return exchange.forwarded()
                ? Optional.empty()
                : exchange.head()
                        .promptDemand()
                        .map(prompt -> mSizes.classify(exchange.route().name(), prompt.size()));
    }

    private void returnUnusedTokens(GatewayExchange exchange) {
        if (exchange.grant() != null && exchange.runs() == 0) {
            mTokenReservations.get().settle(exchange.grant(), exchange.grant().tokens());
        }
    }
}
