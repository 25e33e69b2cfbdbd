package org.filbertrudder.entry.control;

/** Signals that tokens were not granted. */
public final class TokensRefusedException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final Kind mKind;
    private final long mRetryAfterMs;

    /** Creates the exception. */
    public TokensRefusedException(Kind kind, long retryAfterMs) {
        super("Tokens refused: " + kind, null, false, false);
        mKind = kind;
        mRetryAfterMs = retryAfterMs;
    }

    /** Returns why the tokens were refused. */
    public Kind kind() {
        return mKind;
    }

    /** Returns when to come back, in milliseconds. */
    public long retryAfterMs() {
        return mRetryAfterMs;
    }

    /** Lists why tokens are refused. */
    public enum Kind {
        /** The account has used up its rate and burst for now. */
        RATE_EXCEEDED,
        /** The request is larger than the account's burst. */
        TOO_LARGE,
        /** No instance can grant the account's tokens now. */
        UNAVAILABLE
    }
}
