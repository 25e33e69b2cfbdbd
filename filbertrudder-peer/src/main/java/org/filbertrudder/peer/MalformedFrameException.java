package org.filbertrudder.peer;

/** Thrown when a frame on a peer connection does not contain a valid message. */
public final class MalformedFrameException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception with a noun phrase that describes the frame; the cause may be null. */
    public MalformedFrameException(String message, Throwable cause) {
        super(message, cause);
    }
}
