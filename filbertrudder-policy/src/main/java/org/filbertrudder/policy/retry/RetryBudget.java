package org.filbertrudder.policy.retry;

/**
 * Limits retries to a share of the recent requests, so that failures do not multiply the load.
 *
 * <p>A few retries are always possible, so that a crash under little load refuses nobody.
 */
public final class RetryBudget {

    private static final double TIME_CONSTANT_MS = 10_000;
    private static final double ALWAYS_POSSIBLE = 10;

    private double mRequests;
    private double mRetries;
    private long mUpdatedMs;

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
        decay(nowMs);
        if (mRetries + 1 > Math.max(ALWAYS_POSSIBLE, share * mRequests)) {
            return false;
        }
        mRetries++;
        return true;
    }

    private void decay(long nowMs) {
        double kept = Math.exp((mUpdatedMs - nowMs) / TIME_CONSTANT_MS);
        mRequests *= kept;
        mRetries *= kept;
        mUpdatedMs = nowMs;
    }
}
