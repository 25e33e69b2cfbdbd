package org.filbertrudder.gateway.traffic;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.filbertrudder.gateway.control.GatewaySnapshot;
import org.filbertrudder.policy.routing.EndpointTable;

/**
 * Holds the collaborators of the start scheduling.
 *
 * @param snapshot returns the members and the configuration
 * @param table holds the endpoints
 * @param clockMs returns the steady clock, in milliseconds
 * @param timers runs delayed actions
 * @param starter returns what starts and ends requests
 * @param unscheduledRouter routes a request without a scheduler
 * @param resubmitter submits a request again that was not started as decided
 * @param metrics counts changes of the scheduler
 */
record StartContext(
        Supplier<GatewaySnapshot> snapshot,
        EndpointTable table,
        LongSupplier clockMs,
        DelayedRunner timers,
        Supplier<RequestDispatcher.Starter> starter,
        Consumer<GatewayExchange> unscheduledRouter,
        Consumer<GatewayExchange> resubmitter,
        StartMetrics metrics) {

    long nowMs() {
        return clockMs.getAsLong();
    }

    void resubmit(GatewayExchange exchange) {
        resubmitter.accept(exchange);
    }

    /** Runs a step of a request; an exception ends only this request. */
    void runStep(GatewayExchange exchange, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            starter.get().fail(exchange, e);
        }
    }
}
