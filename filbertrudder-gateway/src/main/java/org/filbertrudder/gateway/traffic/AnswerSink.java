package org.filbertrudder.gateway.traffic;

import io.vertx.core.buffer.Buffer;
import java.util.Map;

/** Receives the answer to a request. */
interface AnswerSink {

    /** Sends the status and headers. */
    void head(int status, Map<String, String> headers);

    /** Returns whether the status has been sent. */
    boolean headSent();

    /** Sends a part of the body. */
    void write(Buffer data);

    /** Returns whether the receiver is slower than the sender. */
    boolean full();

    /** Runs the action once when the receiver has caught up. */
    void onDrain(Runnable action);

    /** Ends a whole answer. */
    void end();

    /** Ends the connection so that the receiver sees that the answer is not whole. */
    void abort();

    /** Sends a final answer of the gateway itself. */
    void refuse(Refusal refusal);
}
