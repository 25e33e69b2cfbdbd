package org.filbertrudder.policy.connections;

/** Lists why an instance ends a connection on which no whole request waits for its answer. */
public enum EndReason {
    /** The head of a request has not arrived in time. */
    HEAD_LATE,

    /** The body of a request has not arrived by the request's deadline. */
    BODY_LATE,

    /** The body of a request arrives below the least pace. */
    BODY_SLOW,

    /** The rest of the body of a refused request is too long or arrives too late. */
    BODY_REFUSED,

    /** No request has arrived for longer than the idle limit. */
    IDLE
}
