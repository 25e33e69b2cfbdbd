package org.filbertrudder.gateway.traffic;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Classifies requests by their size among the recent requests of the same route, so that outcomes
 * of large and small requests can be compared.
 */
final class RequestSizes {

    /** The number of recent requests of a route that a request is compared with. */
    private static final int SAMPLE_SIZE = 512;

    /** The number of requests after which the thresholds of a route are determined again. */
    private static final int REFRESH_INTERVAL = 32;

    private static final double LARGEST_TENTH_QUANTILE = 0.9;
    private static final double NEXT_FIFTH_QUANTILE = 0.7;

    private final Map<String, RouteSample> mSamples = new HashMap<>();

    /** Adds a request to the sample of its route and returns its class. */
    SizeClass classify(String route, long size) {
        return mSamples.computeIfAbsent(route, key -> new RouteSample()).classify(size);
    }

    /** Lists the classes that the requests of a route are divided into. */
    enum SizeClass {
        /** The request is among the largest tenth. */
        LARGEST_TENTH,
        /** The request is among the fifth below the largest tenth. */
        NEXT_FIFTH,
        /** The request is smaller. */
        SMALLER;

        /** Returns the name of the class in logs and metrics. */
        String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** Holds the sizes of the most recent requests of one route. */
    private static final class RouteSample {

        private final long[] mSizes = new long[SAMPLE_SIZE];
        private int mCount;
        private long mLargestTenthFrom = Long.MAX_VALUE;
        private long mNextFifthFrom = Long.MAX_VALUE;

        SizeClass classify(long size) {
            mSizes[mCount % SAMPLE_SIZE] = size;
            mCount++;
            if (mCount % REFRESH_INTERVAL == 0) {
                updateThresholds();
            }
            if (size >= mLargestTenthFrom) {
                return SizeClass.LARGEST_TENTH;
            }
            return size >= mNextFifthFrom ? SizeClass.NEXT_FIFTH : SizeClass.SMALLER;
        }

        private void updateThresholds() {
            long[] sorted = Arrays.copyOf(mSizes, Math.min(mCount, SAMPLE_SIZE));
            Arrays.sort(sorted);
            mLargestTenthFrom = sorted[(int) (sorted.length * LARGEST_TENTH_QUANTILE)];
            mNextFifthFrom = sorted[(int) (sorted.length * NEXT_FIFTH_QUANTILE)];
        }
    }
}
