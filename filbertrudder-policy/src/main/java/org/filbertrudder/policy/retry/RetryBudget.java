package org.filbertrudder.policy.retry;

/**
 * Limits retries to a fraction of the recent requests, so that failures do not multiply the load.
 *
 * <p>A minimum number of retries is always allowed, so that a crash under low load fails no
 * request.
 */
public final class RetryBudget {

    private static final double TIME_CONSTANT_MS = 10_000;
    private static final double DEFAULT_MIN_RETRIES = 10;

    private double mMinRetries;
    private double mRequests;
    private double mRetries;
    private long mUpdatedMs;

    /** Creates a budget with the default minimum of retries. */
    public RetryBudget() {
        this(DEFAULT_MIN_RETRIES);
    }

    /** Creates a budget that always allows the given number of retries in ten seconds. */
    public RetryBudget(double minRetries) {
        mMinRetries = minRetries;
    }

    /** Changes the number of retries that are always allowed in ten seconds. */
    public void setMinRetries(double minRetries) {
        mMinRetries = minRetries;
    }

    /** Counts a request at its first attempt. */
    public void recordRequest(long nowMs) {
        decay(nowMs);
        mRequests++;
    }

    /**
     * Takes one retry from the budget if it allows one.
     *
     * @param retryShare the fraction of the requests, from 0 to 1, that may be retries
     * @return whether the budget allowed the retry
     */
    public boolean tryAcquireRetry(double retryShare, long nowMs) {
        if (!allowsRetry(retryShare, nowMs)) {
            return false;
        }
        mRetries++;
        return true;
    }

    /** Returns whether a retry would be allowed now. */
    public boolean allowsRetry(double retryShare, long nowMs) {
        decay(nowMs);
        return mRetries + 1 <= Math.max(mMinRetries, retryShare * mRequests);
    }

    private void decay(long nowMs) {
        double decayFactor = Math.exp((mUpdatedMs - nowMs) / TIME_CONSTANT_MS);
        mRequests *= decayFactor;
        mRetries *= decayFactor;
        mUpdatedMs = nowMs;
    }
}
