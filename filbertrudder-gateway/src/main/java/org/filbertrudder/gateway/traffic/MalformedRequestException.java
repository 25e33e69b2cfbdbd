package org.filbertrudder.gateway.traffic;

/** Signals a request that cannot be understood; the message names the remedy. */
public final class MalformedRequestException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception with a message that names the remedy. */
    public MalformedRequestException(String message) {
        super(message, null, false, false);
    }
}
