package org.filbertrudder.gateway.traffic;

/** Represents one attempt to run a request at an endpoint or in another region. */
interface Attempt {

    /** Cancels the attempt; its listener is not called afterwards. */
    void cancel();

    /** Stops reading the response until {@link #resume()} is called. */
    void pause();

    /** Resumes reading the response. */
    void resume();
}
