package org.filbertrudder.policy.queueing;

/** Measures the token throughput of a service as a moving average, to estimate waits. */
public final class TokenThroughput {

    private static final double TIME_CONSTANT_MS = 2_000;

    private double mTokensPerMs;
    private long mUpdatedMs;

    /** Records tokens that have been served. */
    public void recordServed(long tokens, long nowMs) {
        double decay = Math.exp((mUpdatedMs - nowMs) / TIME_CONSTANT_MS);
        mTokensPerMs = mTokensPerMs * decay + tokens / TIME_CONSTANT_MS;
        mUpdatedMs = nowMs;
    }

    /** Returns the estimated time to serve the tokens, in ms; 0 before the first measurement. */
    public long waitMs(long tokens) {
        return mTokensPerMs <= 0 ? 0 : (long) (tokens / mTokensPerMs);
    }
}
