package org.filbertrudder.peer.forwarding;

import org.filbertrudder.model.message.PeerMessage;

/**
 * Receives the response to a forwarded request; {@link #ended()} or {@link #failed} is always the
 * last call.
 */
public interface ForwardListener {

    /** Handles the status and headers of the response, or a refusal of the other instance. */
    void head(PeerMessage.ForwardHead head);

    /** Handles a part of the response body. */
    void data(byte[] data);

    /** Handles the end of a complete response. */
    void ended();

    /** Handles the end of a forward without a complete response. */
    void failed(Failure failure);

    /** States whether a failed forward may have run the request. */
    enum Failure {
        /** The other instance has not run the request and will not run it. */
        NOT_RUN,
        /** The request may have run. */
        INTERRUPTED
    }
}
