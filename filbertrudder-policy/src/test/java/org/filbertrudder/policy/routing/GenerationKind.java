package org.filbertrudder.policy.routing;

/** Lists the kinds of requests. */
enum GenerationKind {
    DIGEST(11.8, true, 1_200, 12_000, 3, 512, 70, 4_870, 1_228, 340, 0.5, 1_100),
    CHAT(35, true, 1_500, 10_000, 40, 119, 139, 79, 430, 227, 0.7, 950),
    LABEL(18.8, false, 2_500, 3_000, 40, 341, 168, 227, 1_232, 20, 0.5, 90);

    final double mPerSecond;
    final boolean mStream;
    final long mGoalMs;
    final long mDeadlineMs;
    final int mFirstParts;
    final long mFirstPartTokens;
    final int mSecondParts;
    final long mSecondPartTokens;
    final double mOwnTokens;
    final double mMedianOutputTokens;
    final double mOutputSpread;
    final int mMaxOutputTokens;

    GenerationKind(
            double perSecond,
            boolean stream,
            long goalMs,
            long deadlineMs,
            int firstParts,
            long firstPartTokens,
            int secondParts,
            long secondPartTokens,
            double ownTokens,
            double medianOutputTokens,
            double outputSpread,
            int maxOutputTokens) {
        mPerSecond = perSecond;
        mStream = stream;
        mGoalMs = goalMs;
        mDeadlineMs = deadlineMs;
        mFirstParts = firstParts;
        mFirstPartTokens = firstPartTokens;
        mSecondParts = secondParts;
        mSecondPartTokens = secondPartTokens;
        mOwnTokens = ownTokens;
        mMedianOutputTokens = medianOutputTokens;
        mOutputSpread = outputSpread;
        mMaxOutputTokens = maxOutputTokens;
    }

    static double[] rates() {
        double[] rates = new double[values().length];
        for (GenerationKind kind : values()) {
            rates[kind.ordinal()] = kind.mPerSecond;
        }
        return rates;
    }
}
