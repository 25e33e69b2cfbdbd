package org.filbertrudder.entry.traffic;

import io.vertx.core.buffer.Buffer;
import java.util.Map;

/** Takes the answer to a request, for a caller or for the instance that forwarded it. */
public interface ResponseSink {

    /** Sends the status and the headers. */
    void head(int status, Map<String, String> headers);

    /** Returns whether the status has been sent. */
    boolean headSent();

    /** Sends part of the body. */
    void write(Buffer data);

    /** Returns whether the receiver is too slow for more data now. */
    boolean full();

    /** Runs the action once when there is room again. */
    void onDrain(Runnable action);

    /** Ends a whole answer. */
    void end();

    /** Breaks the answer off in such a way that the receiver can tell. */
    void abort();
}
