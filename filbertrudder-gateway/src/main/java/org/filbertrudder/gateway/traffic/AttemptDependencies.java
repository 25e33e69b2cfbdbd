package org.filbertrudder.gateway.traffic;

import io.vertx.core.Vertx;
import org.filbertrudder.gateway.control.GatewayControl;

/**
 * Gathers what attempts work with.
 *
 * @param vertx gives timers
 * @param control the control state
 * @param protocol the spelling of heads
 * @param connections the connections to endpoints
 * @param forwardClient the forwards to other regions
 * @param loadReporting the load of other regions
 * @param failureDetector finds out what became of endpoints
 * @param retryBudgets limits retries
 * @param finisher ends exchanges
 */
record AttemptDependencies(
        Vertx vertx,
        GatewayControl control,
        HttpProtocol protocol,
        EndpointConnectionPools connections,
        ForwardClient forwardClient,
        LoadReporting loadReporting,
        EndpointFailureDetector failureDetector,
        RetryBudgets retryBudgets,
        ExchangeFinisher finisher) {}
