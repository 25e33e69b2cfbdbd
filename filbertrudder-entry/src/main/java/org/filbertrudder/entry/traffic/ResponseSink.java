package org.filbertrudder.entry.traffic;

import io.vertx.core.buffer.Buffer;
import java.util.Map;

/** Sends the response of a request to the caller or to the instance that forwarded it. */
public interface ResponseSink {

    /** Sends the status and the headers. */
    void sendHead(int status, Map<String, String> headers);

    /** Returns whether the status and the headers have been sent. */
    boolean headSent();

    /** Sends part of the body. */
    void write(Buffer data);

    /** Returns whether the write queue is full, so that writing should pause. */
    boolean writeQueueFull();

    /** Runs the action once, when the write queue has drained. */
    void onDrain(Runnable action);

    /** Ends a complete response. */
    void end();

    /** Ends an incomplete response in a way that the receiver recognises as an error. */
    void abort();
}
