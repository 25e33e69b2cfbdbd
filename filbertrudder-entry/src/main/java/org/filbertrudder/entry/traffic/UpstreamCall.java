package org.filbertrudder.entry.traffic;

/** Represents a running attempt on an endpoint or in another region. */
interface UpstreamCall {

    /** Cancels the attempt; data that arrives later is dropped. */
    void cancel();

    /** Stops reading the response until {@link #resume()}. */
    void pause();

    /** Continues reading the response. */
    void resume();
}
