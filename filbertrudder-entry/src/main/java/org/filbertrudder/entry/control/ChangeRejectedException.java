package org.filbertrudder.entry.control;

import java.util.List;

/** Signals that a change of the configuration was not accepted. */
public final class ChangeRejectedException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final Kind mKind;
    private final List<String> mProblems;

    /** Creates the exception with a message that names the remedy. */
    public ChangeRejectedException(Kind kind, String message, List<String> problems) {
        super(message);
        mKind = kind;
        mProblems = List.copyOf(problems);
    }

    /** Returns why the change was not accepted. */
    public Kind kind() {
        return mKind;
    }

    /** Returns the problems of an invalid change, each with path and remedy. */
    public List<String> problems() {
        return mProblems;
    }

    /** Lists why a change is not accepted. */
    public enum Kind {
        /** The configuration would be inconsistent. */
        INVALID,
        /** Another operator's change came first. */
        CONFLICT,
        /** The store cannot be reached; the change has had no effect. */
        STORE_UNAVAILABLE,
        /** The store gave no answer; the change may take effect. */
        OUTCOME_UNKNOWN,
        /** The store holds an older revision than the one in force. */
        STORE_BEHIND
    }
}
