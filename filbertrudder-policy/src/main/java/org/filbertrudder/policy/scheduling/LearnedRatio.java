package org.filbertrudder.policy.scheduling;

/**
 * Estimates a ratio as the quotient of two weighted sums over its samples.
 *
 * <p>A prior value counts like some samples that lose their weight like all others, so that the
 * first samples do not make the estimate jump.
 */
final class LearnedRatio {

    private final double mRetainedWeight;
    private double mPriorWeight;
    private double mNumerator;
    private double mDenominator;

    /**
     * Creates an estimate without samples.
     *
     * @param retainedWeight the part of its weight that a sample keeps when another one is added
     * @param priorWeight the weight of the prior value, in units of the denominator
     */
    LearnedRatio(double retainedWeight, double priorWeight) {
        mRetainedWeight = retainedWeight;
        mPriorWeight = priorWeight;
    }

    /** Adds a sample. */
    void add(double numerator, double denominator) {
        mNumerator = mRetainedWeight * mNumerator + numerator;
        mDenominator = mRetainedWeight * mDenominator + denominator;
        mPriorWeight *= mRetainedWeight;
    }

    /** Returns the estimate; without samples, the prior value. */
    double estimate(double prior) {
        return (mNumerator + mPriorWeight * prior) / (mDenominator + mPriorWeight);
    }
}
