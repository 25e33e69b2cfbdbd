package org.filbertrudder.gateway.traffic;

import io.vertx.core.Vertx;
import org.filbertrudder.gateway.control.GatewayControl;

/**
 * Holds the collaborators that all attempts share.
 *
 * @param vertx creates timers
 * @param control the control state
 * @param protocol translates between heads and the header names of the deployment
 * @param connections pools the connections to endpoints
 * @param forwardClient forwards requests to instances in other regions
 * @param loadReporting holds the load that other instances and regions report
 * @param limits records the request limits that endpoints state
 * @param crashingParts decides which parts of prompts crash endpoints
 * @param failureDetector detects endpoints that have crashed, stalled or are unreachable
 * @param retryBudgets limits retries
 * @param starts reports attempts to the schedulers of their services
 * @param finisher ends exchanges and logs their outcome
 */
record AttemptDependencies(
        Vertx vertx,
        GatewayControl control,
        HttpProtocol protocol,
        EndpointConnectionPools connections,
        GatewayForwardClient forwardClient,
        LoadReporting loadReporting,
        EndpointLimitTracker limits,
        CrashingPartService crashingParts,
        EndpointFailureDetector failureDetector,
        RetryBudgets retryBudgets,
        StartClient starts,
        GatewayExchangeFinisher finisher) {}
