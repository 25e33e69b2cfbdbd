package org.filbertrudder.policy.scheduling;

/** Measures a rate per millisecond as an exponentially weighted moving average. */
final class MovingRate {

    /** The time constant, in milliseconds; demand changes within seconds. */
    private static final double TIME_CONSTANT_MS = 1_000;

    private double mPerMs;
    private long mUpdatedMs;

    void record(double amount, long nowMs) {
        mPerMs = perMs(nowMs) + amount / TIME_CONSTANT_MS;
        mUpdatedMs = Math.max(mUpdatedMs, nowMs);
    }

    double perMs(long nowMs) {
        return nowMs <= mUpdatedMs
                ? mPerMs
                : mPerMs * Math.exp((mUpdatedMs - nowMs) / TIME_CONSTANT_MS);
    }
}
