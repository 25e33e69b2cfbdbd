package org.filbertrudder.store;

/** Thrown when a call to the store fails; the kind tells whether the call may have taken effect. */
public final class StoreException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final Kind mKind;

    /** Creates the exception with a message that states the problem and how to correct it. */
    public StoreException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        mKind = kind;
    }

    /** Returns whether the call may have taken effect. */
    public Kind kind() {
        return mKind;
    }

    /** Classifies failed calls by whether they may have taken effect. */
    public enum Kind {
        /** The store did not execute the call, so that a retry is safe. */
        NOT_DONE,
        /** The call may or may not have taken effect. */
        OUTCOME_UNKNOWN
    }
}
