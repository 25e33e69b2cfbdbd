package org.filbertrudder.policy.tokens;

/** Estimates the requested tokens per second as an exponentially decaying average. */
final class DemandMeter {

    private static final double TIME_CONSTANT_MS = 3_000;

    private double mRatePerSecond;
    private long mUpdatedMs;

    DemandMeter(long nowMs) {
        mUpdatedMs = nowMs;
    }

    void add(double tokens, long nowMs) {
        decay(nowMs);
        mRatePerSecond += tokens * 1000.0 / TIME_CONSTANT_MS;
    }

    double ratePerSecond(long nowMs) {
        decay(nowMs);
        return mRatePerSecond;
    }

    private void decay(long nowMs) {
        if (nowMs > mUpdatedMs) {
            mRatePerSecond *= Math.exp((mUpdatedMs - nowMs) / TIME_CONSTANT_MS);
            mUpdatedMs = nowMs;
        }
    }
}
