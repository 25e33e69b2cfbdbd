package org.filbertrudder.gateway.traffic;

/** Represents one try to run a request at an endpoint or in another region. */
interface Attempt {

    /** Gives the attempt up; nothing is heard of it afterwards. */
    void cancel();

    /** Stops reading the answer until it is resumed. */
    void pause();

    /** Goes on reading the answer. */
    void resume();
}
