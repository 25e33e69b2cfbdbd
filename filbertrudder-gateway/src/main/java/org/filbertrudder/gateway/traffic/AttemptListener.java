package org.filbertrudder.gateway.traffic;

import io.vertx.core.buffer.Buffer;

/** Receives the events of one attempt; {@link #end()} or {@link #failed} is always the last. */
interface AttemptListener {

    /** Handles the status and headers of the response. */
    void head(ResponseHead head);

    /** Handles a part of the response body. */
    void data(Buffer data);

    /** Handles the end of a complete response. */
    void end();

    /** Handles the end of a response that has no length and ends with its connection. */
    default void endByClose() {
        end();
    }

    /** Handles an attempt that ends without a complete response. */
    void failed(Failure failure);

    /** States whether a failed attempt may have run the request. */
    enum Failure {
        /** No byte of the request has been sent, or its receiver has not run it. */
        NOT_SENT,
        /** The request may have run. */
        INTERRUPTED
    }
}
