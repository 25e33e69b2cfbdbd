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
 * @param forwards the forwards to other regions
 * @param board the load of other regions
 * @param doctor finds out what became of endpoints
 * @param budgets limits retries
 * @param finisher ends exchanges
 */
record AttemptTools(
        Vertx vertx,
        GatewayControl control,
        HttpProtocol protocol,
        EndpointConnections connections,
        PeerForwards forwards,
        RegionBoard board,
        EndpointDoctor doctor,
        RetryBudgets budgets,
        ExchangeFinisher finisher) {}
