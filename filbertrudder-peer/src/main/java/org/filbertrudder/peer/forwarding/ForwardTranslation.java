package org.filbertrudder.peer.forwarding;

import org.filbertrudder.model.message.PeerMessage;

/** Adapts messages about forwarded requests to receivers of earlier releases. */
public interface ForwardTranslation {

    /** Returns the message that starts a request at a receiver with a protocol version. */
    default PeerMessage.ForwardStart toReceiver(PeerMessage.ForwardStart start, int version) {
        return start;
    }

    /** Returns what a receiver with a protocol version has stated. */
    default PeerMessage.ForwardHead fromReceiver(PeerMessage.ForwardHead head, int version) {
        return head;
    }
}
