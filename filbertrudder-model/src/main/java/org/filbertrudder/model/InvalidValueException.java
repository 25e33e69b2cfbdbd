package org.filbertrudder.model;

/** Signals a value that breaks a rule of its type; the message names the remedy. */
public final class InvalidValueException extends IllegalArgumentException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception with a message that names the remedy. */
    public InvalidValueException(String message) {
        super(message);
    }
}
