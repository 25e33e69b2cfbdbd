package org.filbertrudder.peer;

import org.filbertrudder.model.message.PeerMessage;

/** Receives the messages of all peer connections, on the network's event loop. */
@FunctionalInterface
public interface PeerHandler {

    /** Handles a message that came over a connection. */
    void handle(PeerConnection connection, PeerMessage message);
}
