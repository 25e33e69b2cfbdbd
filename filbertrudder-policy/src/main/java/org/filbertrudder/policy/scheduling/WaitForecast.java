package org.filbertrudder.policy.scheduling;

import java.util.OptionalDouble;
import java.util.stream.Stream;
import org.filbertrudder.policy.queueing.DrainRate;

/**
 * Estimates how long a request waits from the uncached tokens with a lower key.
 *
 * <p>Requests that arrive later overtake it only until their keys exceed its own, so the estimate
 * stays finite when more urgent ranks alone use the whole drain rate.
 */
final class WaitForecast {

    /** The factor by which work is stored, because the drain rate counts whole units. */
    private static final double UNITS_PER_MS = 1_000;

    /**
     * Measures the started work, in ms of reading by all engines together. As a part of the
     * engines' speed, the rate remains valid when engines leave or return.
     */
    private final DrainRate mDrainRate = new DrainRate();

    private final MovingRate[] mArrivals =
            Stream.generate(MovingRate::new)
                    .limit(StartOrder.MAX_RANK + 1)
                    .toArray(MovingRate[]::new);
    private final double[] mArrivalsPerMs = new double[StartOrder.MAX_RANK + 1];
    private boolean mWaiting;
    private double mTokensPerMs;
    private long mNowMs;

    /** Records the uncached tokens of a request that arrives. */
    void recordArrival(int rank, double tokens, long nowMs) {
        mArrivals[StartOrder.boundedRank(rank)].record(tokens, nowMs);
    }

    /** Records a start; it shows the drain rate only if requests have waited for capacity. */
    void recordStart(double tokens, double enginesTokensPerMs, long nowMs) {
        if (mWaiting) {
            mDrainRate.recordStart((long) (tokens * UNITS_PER_MS / enginesTokensPerMs), nowMs);
        }
    }

    /** Records whether requests wait for capacity of usable engines from now on. */
    void setWaiting(boolean waiting, long nowMs) {
        mDrainRate.setWaiting(waiting, nowMs);
        mWaiting = waiting;
    }

    /** Determines the rates for the estimates of one pass. */
    void update(double enginesTokensPerMs, long nowMs) {
        mNowMs = nowMs;
        OptionalDouble unitsPerMs = mDrainRate.tokensPerMs(nowMs);
        mTokensPerMs = unitsPerMs.orElse(UNITS_PER_MS) / UNITS_PER_MS * enginesTokensPerMs;
        for (int rank = 0; rank < mArrivals.length; rank++) {
            mArrivalsPerMs[rank] = mArrivals[rank].perMs(nowMs);
        }
    }

    /** Returns the estimated wait of a request at the time of the last update, in milliseconds. */
    double waitMs(double tokensAhead, int rank, double keyMs) {
        if (tokensAhead <= 0) {
            return 0;
        }
        if (mTokensPerMs <= 0) {
            return mDrainRate.waitMs(0, mNowMs);
        }
        double urgentPerMs = 0;
        double overtakingTokens = 0;
        for (int urgent = 0; urgent < StartOrder.boundedRank(rank); urgent++) {
            double overtakingMs = keyMs - StartOrder.keyMs(mNowMs, urgent);
            urgentPerMs += mArrivalsPerMs[urgent];
            overtakingTokens += mArrivalsPerMs[urgent] * Math.max(0, overtakingMs);
        }
        double boundMs = (tokensAhead + overtakingTokens) / mTokensPerMs;
        return urgentPerMs >= mTokensPerMs
                ? boundMs
                : Math.min(boundMs, tokensAhead / (mTokensPerMs - urgentPerMs));
    }
}
