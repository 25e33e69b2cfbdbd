package org.filbertrudder.policy.scheduling;

/**
 * Learns how fast an engine reads prompts, from prompts that it read without a break.
 *
 * <p>The time between the beginnings of two responses is reading time only if the engine had the
 * second prompt already when the first response began. Other intervals include idle time and would
 * make the engine look slow.
 */
final class EngineSpeed {

    private static final double RETAINED_WEIGHT = 0.9;

    /**
     * The weight of the service's speed for an engine without samples, in ms of reading; a few
     * prompts. The speeds of the engines of a service differ by a factor of 2.7.
     */
    private static final double SERVICE_SPEED_WEIGHT_MS = 100;

    private static final double SERVICE_DELAY_WEIGHT = 2;

    /**
     * The minimum time between a start and the beginning of the previous response, in milliseconds.
     * Beginnings are reported up to 10 ms late, so a later start may have met an idle engine.
     */
    private static final long MIN_LEAD_MS = 10;

    /**
     * The minimum reading time of a sample, in milliseconds. Shorter intervals are added up,
     * because an engine begins several responses at the end of one step, and beginnings are
     * reported in batches.
     */
    private static final double MIN_SAMPLE_MS = 20;

    /**
     * The maximum ratio of a sample to the estimate, and of the estimate to a sample. Prompts that
     * are cached without the scheduler's knowledge would make an engine look many times faster, and
     * the time of a pause would outweigh all earlier samples.
     */
    private static final double MAX_SAMPLE_RATIO = 4;

    /**
     * The ratio of a prompt's speed on an idle engine to the estimate from which on it is a sample.
     * Smaller differences come from changes of the pace; samples of them would only raise the
     * estimate.
     */
    private static final double MIN_IDLE_SAMPLE_RATIO = 1.25;

    /** Limits the influence of a prompt that waited for a reason other than its reading. */
    private static final double MAX_BASE_DELAY_MS = 500;

    private final ServiceSpeed mService;
    private final LearnedRatio mTokensPerMs =
            new LearnedRatio(RETAINED_WEIGHT, SERVICE_SPEED_WEIGHT_MS);
    private final LearnedRatio mBaseDelayMs =
            new LearnedRatio(RETAINED_WEIGHT, SERVICE_DELAY_WEIGHT);
    private boolean mHasPrevious;
    private boolean mPreviousCounted;
    private long mPreviousMs;
    private double mPreviousWorkMs;
    private double mSampleTokens;
    private double mSampleMs;

    EngineSpeed(ServiceSpeed service) {
        mService = service;
    }

    /** Returns the prompt speed at pace 100, in tokens per millisecond. */
    double tokensPerMs() {
        return mTokensPerMs.estimate(mService.tokensPerMs());
    }

    /** Returns the time to the first event in addition to the reading time, in milliseconds. */
    double baseDelayMs() {
        return mBaseDelayMs.estimate(mService.baseDelayMs());
    }

    /**
     * Records the beginning of a response.
     *
     * @param tokens the tokens of the prompt that were not cached
     * @param startedMs when the prompt was started
     * @param workMs the work clock of the engine at the beginning
     */
    void recordBegun(double tokens, long startedMs, long nowMs, double workMs) {
        double durationMs = workMs - mPreviousWorkMs;
        boolean counts =
                mHasPrevious
                        && startedMs + MIN_LEAD_MS <= mPreviousMs
                        && (durationMs > 0 || mPreviousCounted);
        if (counts) {
            addReading(tokens, durationMs);
        }
        mHasPrevious = true;
        mPreviousCounted = counts;
        mPreviousMs = nowMs;
        mPreviousWorkMs = workMs;
    }

    /** Records that the engine may have spent time on a prompt whose response has not begun. */
    void recordInterruption() {
        mHasPrevious = false;
    }

    private void addReading(double tokens, double durationMs) {
        mSampleTokens += tokens;
        mSampleMs += durationMs;
        if (mSampleMs >= MIN_SAMPLE_MS) {
            addSample(mSampleTokens, mSampleMs);
            mSampleTokens = 0;
            mSampleMs = 0;
        }
    }

    /** Adds a sample; one that is implausibly slow counts with a part of its time. */
    private void addSample(double tokens, double durationMs) {
        double expectedMs = tokens / tokensPerMs();
        double plausibleMs =
                Math.max(MIN_SAMPLE_MS, Math.min(durationMs, expectedMs * MAX_SAMPLE_RATIO));
        double expectedTokens = plausibleMs * tokensPerMs();
        double plausibleTokens =
                Math.max(
                        expectedTokens / MAX_SAMPLE_RATIO,
                        Math.min(tokens, expectedTokens * MAX_SAMPLE_RATIO));
        mTokensPerMs.add(plausibleTokens, plausibleMs);
        mService.recordReading(plausibleTokens, plausibleMs);
    }

    /**
     * Records the beginning of a response whose prompt met an idle engine.
     *
     * <p>Its time includes more than the reading, so it shows only that an engine is faster than
     * estimated. With an estimate that is far too low, each prompt fills the window of the engine,
     * and there are no other samples.
     *
     * @param durationMs the time since the start
     * @param workMs the same time as work
     */
    void recordIdleStart(double tokens, double durationMs, double workMs) {
        if (workMs >= MIN_SAMPLE_MS && tokens > workMs * tokensPerMs() * MIN_IDLE_SAMPLE_RATIO) {
            addSample(tokens, workMs);
        }
        double readingShare = Math.min(1, tokens / tokensPerMs() / workMs);
        double delayMs = Math.min(MAX_BASE_DELAY_MS, durationMs * (1 - readingShare));
        mBaseDelayMs.add(delayMs, 1);
        mService.recordBaseDelay(delayMs);
    }
}
