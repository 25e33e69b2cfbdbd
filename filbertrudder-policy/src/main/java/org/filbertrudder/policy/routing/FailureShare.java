package org.filbertrudder.policy.routing;

/**
 * Measures which part of the requests an endpoint has failed lately.
 *
 * <p>It answers endpoints that fail some requests while all else about them looks well. Old
 * outcomes lose weight with time, so an endpoint that is avoided is tried again after a while.
 */
final class FailureShare {

    /** The time after which an outcome has lost most of its weight, in milliseconds. */
    private static final double MEMORY_MS = 4_000;

    /** Stands for successes before the first outcomes, so that one failure proves little. */
    private static final double PRIOR_SUCCESSES = 3;

    /** Part of failed requests above which an endpoint counts as doubtful; some fail by nature. */
    private static final double DOUBTFUL_SHARE = 0.25;

    private double mFailures;
    private double mSuccesses;
    private long mUpdatedMs;

    void note(boolean failed, long nowMs) {
        decay(nowMs);
        if (failed) {
            mFailures++;
        } else {
            mSuccesses++;
        }
    }

    /** Returns whether so many requests have failed that other endpoints are the better choice. */
    boolean isDoubtful(long nowMs) {
        if (mFailures == 0) {
            return false;
        }
        decay(nowMs);
        return mFailures / (mFailures + mSuccesses + PRIOR_SUCCESSES) > DOUBTFUL_SHARE;
    }

    private void decay(long nowMs) {
        if (nowMs > mUpdatedMs) {
            double factor = Math.exp((mUpdatedMs - nowMs) / MEMORY_MS);
            mFailures *= factor;
            mSuccesses *= factor;
            mUpdatedMs = nowMs;
        }
    }
}
