package org.filbertrudder.policy.tokens;

/**
 * Holds the limits of the token decisions.
 *
 * @param shards the number of shards that the accounts of a region are divided into
 * @param grantValidityMs how long after it was granted a reservation may be used, in milliseconds
 * @param loanTermMs how long a loan lasts, in milliseconds
 * @param loanReplyTimeoutMs how long a holder waits for the answer of a lender, in milliseconds
 * @param maxPauseMs the longest time without a tick before the holder must validate its shards
 */
public record TokenSettings(
        int shards,
        long grantValidityMs,
        long loanTermMs,
        long loanReplyTimeoutMs,
        long maxPauseMs) {

    /** The settings that entry instances use. */
    public static final TokenSettings DEFAULT = new TokenSettings(16, 250, 10_000, 1_000, 3_000);

    /** Exceeds the borrower's term, so that clocks of slightly different speed do no harm. */
    public long lenderTermMs() {
        return loanTermMs + loanTermMs / 100;
    }
}
