package org.filbertrudder.gateway.config;

/** Lists how the requests of a route may be repeated and answered. */
public enum RequestKind {
    /** Idempotent; may run more than once. */
    SAFE,
    /** Not idempotent; may run at most once. */
    UNSAFE,
    /** Answered by a stream of events. */
    STREAM
}
