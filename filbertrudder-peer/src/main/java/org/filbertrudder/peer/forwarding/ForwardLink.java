package org.filbertrudder.peer.forwarding;

import java.util.concurrent.CompletableFuture;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PeerMessage;

/** A connection to another instance that carries forwarded requests and their responses. */
public interface ForwardLink {

    /** Sends a message; drops it if the link is closed or its output has ended. */
    void send(PeerMessage message);

    /** Closes the link at once, also if the other end reads nothing. */
    void close();

    /** Runs the action once when the link closes, or immediately if it is already closed. */
    void whenClosed(Runnable action);

    /**
     * Ends the output after the messages that have been sent.
     *
     * @return completes when the link has closed
     */
    CompletableFuture<Void> endOutput();

    /** Returns the member at the other end; null before its hello message. */
    Member peerMember();

    /**
     * Returns the number that identifies the process at the other end; 0 if it cannot resume
     * forwarded requests, as its release is older.
     */
    long peerLife();

    /** Returns the protocol version that the other end supports; 0 before its hello message. */
    int peerVersion();
}
