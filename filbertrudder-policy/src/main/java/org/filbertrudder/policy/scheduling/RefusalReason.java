package org.filbertrudder.policy.scheduling;

/** Lists why a request gets no start. */
public enum RefusalReason {
    /** The request would wait longer than its wait limit. */
    NO_ROOM_IN_TIME,
    /** No engine could complete the response before the deadline, even at once. */
    CANNOT_END_IN_TIME,
    /** No endpoint may run the request. */
    NO_ENDPOINT
}
