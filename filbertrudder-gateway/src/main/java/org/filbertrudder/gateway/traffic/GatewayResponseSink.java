package org.filbertrudder.gateway.traffic;

import org.filbertrudder.entry.traffic.ResponseSink;

/** Receives the answer to a request, or the gateway's own refusal. */
interface GatewayResponseSink extends ResponseSink {

    /** Sends a final answer of the gateway itself. */
    void refuse(Refusal refusal);
}
