package org.filbertrudder.policy.queueing;

/** Measures how many tokens a service serves, from which the wait of others is estimated. */
public final class ServedRate {

    private static final double SMOOTHING_MS = 2_000;

    private double mTokensPerMs;
    private long mServedMs;

    /** Notes tokens that have been served. */
    public void note(long tokens, long nowMs) {
        double decay = Math.exp((mServedMs - nowMs) / SMOOTHING_MS);
        mTokensPerMs = mTokensPerMs * decay + tokens / SMOOTHING_MS;
        mServedMs = nowMs;
    }

    /** Returns how long it takes to serve the tokens, in milliseconds; 0 if nothing is known. */
    public long waitMs(long tokens) {
        return mTokensPerMs <= 0 ? 0 : (long) (tokens / mTokensPerMs);
    }
}
