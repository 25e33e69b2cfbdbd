package org.filbertrudder.policy.tokens;

/**
 * Settings of token grants and loans.
 *
 * @param shards the number of shards that the accounts of a region are divided into
 * @param grantValidityMs how long a granted reservation may be used, in milliseconds
 * @param loanTermMs how long a loan lasts, in milliseconds
 * @param loanReplyTimeoutMs how long a holder waits for the reply of a lender, in milliseconds
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

    /**
     * Returns how long a lent amount is unavailable to its lender, in milliseconds.
     *
     * <p>Exceeds the borrower's term to tolerate clocks that run at slightly different speeds.
     */
    public long lenderTermMs() {
        return loanTermMs + loanTermMs / 100;
    }
}
