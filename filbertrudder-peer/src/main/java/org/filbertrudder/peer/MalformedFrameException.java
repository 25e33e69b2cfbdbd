package org.filbertrudder.peer;

/** Signals bytes on a peer connection that are not a message of the protocol. */
public final class MalformedFrameException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public MalformedFrameException(String message, Throwable cause) {
        super(message, cause);
    }
}
