package org.filbertrudder.gateway.config;

/** Defines whether the requests of a route may be retried, and how they are answered. */
public enum RequestKind {
    /** Idempotent; a request may run more than once. */
    SAFE,
    /** Not idempotent; a request may run at most once. */
    UNSAFE,
    /** Answered by a stream of server-sent events. */
    STREAM
}
