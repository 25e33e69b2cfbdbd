package org.filbertrudder.entry.traffic;

/** Represents a running attempt at an endpoint or in another region. */
interface Upstream {

    /** Stops the attempt; its late answers are dropped. */
    void cancel();

    /** Stops reading the answer for now. */
    void pause();

    /** Goes on reading the answer. */
    void resume();
}
