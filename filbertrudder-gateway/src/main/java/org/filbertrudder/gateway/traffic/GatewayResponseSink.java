package org.filbertrudder.gateway.traffic;

import org.filbertrudder.entry.traffic.ResponseSink;

/** Receives the response to a request: an endpoint's response or a refusal by the gateway. */
interface GatewayResponseSink extends ResponseSink {

    /** Sends a refusal as the final response. */
    void refuse(GatewayRefusal refusal);
}
