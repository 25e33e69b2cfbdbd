package org.filbertrudder.model;

/** Lists the kinds of services that the gateway routes requests to. */
public enum ServiceKind {
    /** A pool of model engines behind the OpenAI-compatible API. */
    MODEL,
    /** An HTTP service without model-specific routing. */
    PLAIN
}
