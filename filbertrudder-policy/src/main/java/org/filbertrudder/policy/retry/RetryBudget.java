package org.filbertrudder.policy.retry;

/** Limits retries to a share of the recent requests, so that failures do not multiply the load. */
public final class RetryBudget {

    private static final double MAX_SAVED_RETRIES = 10;

    private double mBalance = 1;

    /** Notes a first attempt, which earns the given share of a retry. */
    public void noteRequest(double share) {
        mBalance = Math.min(MAX_SAVED_RETRIES, mBalance + share);
    }

    /** Takes one retry from the budget; returns whether there was one. */
    public boolean tryRetry() {
        if (mBalance < 1) {
            return false;
        }
        mBalance -= 1;
        return true;
    }
}
