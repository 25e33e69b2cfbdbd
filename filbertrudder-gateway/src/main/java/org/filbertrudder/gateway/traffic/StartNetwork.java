package org.filbertrudder.gateway.traffic;

import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PeerMessage;

/** Sends the messages of the start scheduling to other instances. */
interface StartNetwork {

    /** Sends a message; drops it if there is no connection. */
    void send(Member to, PeerMessage message);

    /** Closes a connection that has fallen silent; the next message opens another one. */
    void disconnect(Member to);
}
