package org.filbertrudder.gateway.traffic;

/**
 * Thrown when a request's head is ambiguous or incomplete; the message tells the caller how to
 * correct it.
 */
public final class MalformedRequestException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception with a message that tells the caller how to correct the request. */
    public MalformedRequestException(String message) {
        super(message, null, false, false);
    }
}
