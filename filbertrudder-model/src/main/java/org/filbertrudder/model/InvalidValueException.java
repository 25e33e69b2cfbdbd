package org.filbertrudder.model;

/** Thrown when a value violates a constraint of its type or document. */
public final class InvalidValueException extends IllegalArgumentException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception with a message that states the problem and how to correct it. */
    public InvalidValueException(String message) {
        super(message);
    }
}
