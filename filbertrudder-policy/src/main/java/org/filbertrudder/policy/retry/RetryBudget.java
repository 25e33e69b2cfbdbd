package org.filbertrudder.policy.retry;

/**
 * Limits retries to a share of the recent requests, so that failures do not multiply the load.
 *
 * <p>A few retries are always possible, so that a crash under little load refuses nobody.
 */
public final class RetryBudget {

    private static final double TIME_CONSTANT_MS = 10_000;
    private static final double ALWAYS_POSSIBLE = 10;

    private double mAlwaysPossible;
    private double mRequests;
    private double mRetries;
    private long mUpdatedMs;

    /** Creates a budget that always allows some retries. */
    public RetryBudget() {
        this(ALWAYS_POSSIBLE);
    }

    /** Creates a budget that always allows a number of retries in ten seconds. */
    public RetryBudget(double alwaysPossible) {
        mAlwaysPossible = alwaysPossible;
    }

    /** Changes the number of retries that are always possible in ten seconds. */
    public void setAlwaysPossible(double alwaysPossible) {
        mAlwaysPossible = alwaysPossible;
    }

    /** Notes a first attempt. */
    public void noteRequest(long nowMs) {
        decay(nowMs);
        mRequests++;
    }

    /**
     * Takes one retry from the budget.
     *
     * @param share the share of the requests, from 0 to 1, that may be retries
     * @return whether the budget allowed it
     */
    public boolean tryRetry(double share, long nowMs) {
        if (!hasRoom(share, nowMs)) {
            return false;
        }
        mRetries++;
        return true;
    }

    /** Returns whether a retry would be allowed now. */
    public boolean hasRoom(double share, long nowMs) {
        decay(nowMs);
        return mRetries + 1 <= Math.max(mAlwaysPossible, share * mRequests);
    }

    private void decay(long nowMs) {
        double kept = Math.exp((mUpdatedMs - nowMs) / TIME_CONSTANT_MS);
        mRequests *= kept;
        mRetries *= kept;
        mUpdatedMs = nowMs;
    }
}
