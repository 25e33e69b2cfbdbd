package org.filbertrudder.store;

/** Signals that a call to the store has failed; the kind tells what is known of its effect. */
public final class StoreException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final Kind mKind;

    /** Creates the exception with a message that names the remedy. */
    public StoreException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        mKind = kind;
    }

    /** Returns what is known of the call's effect. */
    public Kind kind() {
        return mKind;
    }

    /** Lists what is known of the effect of a failed call. */
    public enum Kind {
        /** The store did not take the call. */
        NOT_DONE,
        /** The call may or may not have taken effect. */
        OUTCOME_UNKNOWN
    }
}
