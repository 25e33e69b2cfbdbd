package org.filbertrudder.entry.control;

import java.util.List;

/** Thrown when a change to the configuration is rejected or its outcome is unknown. */
public final class ChangeRejectedException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final Kind mKind;
    private final List<String> mProblems;

    /** Creates the exception; the message tells the operator how to proceed. */
    public ChangeRejectedException(Kind kind, String message, List<String> problems) {
        super(message);
        mKind = kind;
        mProblems = List.copyOf(problems);
    }

    /** Returns the reason of the rejection. */
    public Kind kind() {
        return mKind;
    }

    /** Returns the problems of an invalid change, each with its path and how to fix it. */
    public List<String> problems() {
        return mProblems;
    }

    /** Defines the reasons of a rejection. */
    public enum Kind {
        /** The change would make the configuration inconsistent. */
        INVALID,
        /** Other changes were accepted first. */
        CONFLICT,
        /** The store is unreachable; the change has had no effect. */
        STORE_UNAVAILABLE,
        /** The store did not respond to the write; the change may still take effect. */
        OUTCOME_UNKNOWN,
        /** The newest revision in the store is older than the one in force. */
        STORE_BEHIND
    }
}
