package org.filbertrudder.gateway.traffic;

import io.vertx.core.buffer.Buffer;

/** Is told how an attempt goes; after an end or a failure nothing follows. */
interface AttemptListener {

    /** Handles the status and headers of the answer. */
    void head(AnswerHead head);

    /** Handles a part of the answer's body. */
    void data(Buffer data);

    /** Handles the regular end of the answer. */
    void end();

    /** Handles an attempt that brings no whole answer. */
    void failed(Failure failure);

    /** Lists what is known of a failed attempt. */
    enum Failure {
        /** No byte of the request has been sent. */
        NOT_SENT,
        /** The request may have run. */
        INTERRUPTED
    }
}
