package org.filbertrudder.entry.traffic;

import io.vertx.core.buffer.Buffer;
import java.util.Map;

/** Receives the response of an attempt. */
interface UpstreamListener {

    /** Receives the status and the headers. */
    void onHead(int status, Map<String, String> headers);

    /** Receives part of the body. */
    void onData(Buffer data);

    /** Receives the end of a body that has arrived completely. */
    void onEnd();

    /** Reports that the attempt has failed; no other call follows. */
    void onFailure(Failure failure);

    /** Defines how an attempt failed, which tells whether the request may have run. */
    enum Failure {
        /** The request was not sent, so it has certainly not run. */
        NOT_SENT,
        /** The request was sent before the attempt failed, so it may have run. */
        BROKEN
    }
}
