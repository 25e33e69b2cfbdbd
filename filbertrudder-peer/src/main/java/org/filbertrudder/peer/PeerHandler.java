package org.filbertrudder.peer;

import org.filbertrudder.model.message.PeerMessage;

/** Handles the messages of all peer connections on the event loop of the {@link PeerNetwork}. */
@FunctionalInterface
public interface PeerHandler {

    /** Handles a message received on the connection; an exception closes the connection. */
    void handle(PeerConnection connection, PeerMessage message);

    /**
     * Refuses a forwarded request whose message has invalid fields, such as a malformed id.
     *
     * @return whether the connection can stay open
     */
    default boolean refuseUnreadableForward(PeerConnection connection, long stream) {
        return false;
    }
}
