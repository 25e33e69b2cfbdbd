package org.filbertrudder.entry.traffic;

import io.vertx.core.buffer.Buffer;
import java.util.Map;

/** Receives the answer of an attempt. */
interface UpstreamListener {

    /** Receives the status and the headers. */
    void head(int status, Map<String, String> headers);

    /** Receives part of the body. */
    void data(Buffer data);

    /** Receives the regular end of the body. */
    void end();

    /** Is told that the attempt has failed. */
    void failed(Failure failure);

    /** Lists how an attempt can fail. */
    enum Failure {
        /** The request has certainly not reached the endpoint. */
        NOT_SENT,
        /** The connection broke, so the request may have run. */
        BROKEN
    }
}
