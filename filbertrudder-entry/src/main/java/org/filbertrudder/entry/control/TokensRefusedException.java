package org.filbertrudder.entry.control;

/** Thrown when a request for tokens is refused. */
public final class TokensRefusedException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final Kind mKind;
    private final long mRetryAfterMs;

    /** Creates the exception without a stack trace. */
    public TokensRefusedException(Kind kind, long retryAfterMs) {
        super("The request for tokens was refused: " + kind, null, false, false);
        mKind = kind;
        mRetryAfterMs = retryAfterMs;
    }

    /** Returns the reason of the refusal. */
    public Kind kind() {
        return mKind;
    }

    /** Returns the time after which to try again, in milliseconds. */
    public long retryAfterMs() {
        return mRetryAfterMs;
    }

    /** Defines the reasons of a refusal. */
    public enum Kind {
        /** The account's rate and burst are used up at present. */
        RATE_EXCEEDED,
        /** The request needs more tokens than the account's burst. */
        TOO_LARGE,
        /** No instance can currently grant the account's tokens. */
        UNAVAILABLE
    }
}
