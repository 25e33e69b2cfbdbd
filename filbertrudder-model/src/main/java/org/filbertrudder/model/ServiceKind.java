package org.filbertrudder.model;

/** Lists the kinds of service behind the gateway. */
public enum ServiceKind {
    /** A pool of model engines behind the OpenAI-compatible API. */
    MODEL,
    /** A plain HTTP service. */
    PLAIN
}
