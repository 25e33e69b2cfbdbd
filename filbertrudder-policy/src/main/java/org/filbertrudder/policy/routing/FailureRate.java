package org.filbertrudder.policy.routing;

/**
 * Measures the exponentially decayed share of an endpoint's requests that have failed.
 *
 * <p>Detects endpoints that fail some requests although they accept connections and otherwise look
 * healthy. Because old outcomes lose weight, an endpoint that was avoided is tried again later.
 */
final class FailureRate {

    /** The time constant of the exponential decay of an outcome, in milliseconds. */
    private static final double TIME_CONSTANT_MS = 4_000;

    /** Successes assumed before the first outcome, so that one failure has little effect. */
    private static final double PRIOR_SUCCESSES = 3;

    /** The rate above which other endpoints are preferred; healthy endpoints fail some too. */
    private static final double HIGH_FAILURE_RATE = 0.25;

    private double mFailures;
    private double mSuccesses;
    private long mUpdatedMs;

    void recordOutcome(boolean failed, long nowMs) {
        decay(nowMs);
        if (failed) {
            mFailures++;
        } else {
            mSuccesses++;
        }
    }

    /** Returns whether the failure rate is so high that other endpoints are preferred. */
    boolean isHigh(long nowMs) {
        if (mFailures == 0) {
            return false;
        }
        decay(nowMs);
        return mFailures / (mFailures + mSuccesses + PRIOR_SUCCESSES) > HIGH_FAILURE_RATE;
    }

    private void decay(long nowMs) {
        if (nowMs > mUpdatedMs) {
            double factor = Math.exp((mUpdatedMs - nowMs) / TIME_CONSTANT_MS);
            mFailures *= factor;
            mSuccesses *= factor;
            mUpdatedMs = nowMs;
        }
    }
}
