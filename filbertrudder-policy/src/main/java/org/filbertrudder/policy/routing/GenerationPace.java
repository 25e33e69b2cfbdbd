package org.filbertrudder.policy.routing;

import java.util.LinkedHashSet;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * Measures how fast an engine generates, and how much time its running streams lack to end before
 * their deadlines.
 *
 * <p>An engine reads prompts between the tokens that it generates, so each prompt that it accepts
 * slows all its running streams. The longest answers are the first that cannot be completed.
 */
final class GenerationPace {

    /** The number of events of a stream over which its pace is measured. */
    private static final int SAMPLE_EVENTS = 4;

    /** The time constant of the average pace, in milliseconds. */
    private static final double TIME_CONSTANT_MS = 500;

    /** The age after which a measured pace is discarded, in milliseconds. */
    private static final long PACE_LIFETIME_MS = 5_000;

    /** The minimum span for which the fastest pace is remembered, in milliseconds. */
    private static final long FASTEST_WINDOW_MS = 10_000;

    /** The interval at which the missing time is determined again, in milliseconds. */
    private static final long UPDATE_INTERVAL_MS = 50;

    /** The part of the remaining generation time that is added as a safety margin. */
    private static final double SAFETY_MARGIN = 0.25;

    /**
     * The time until the engine generates at its fastest pace after it has stopped accepting
     * prompts, in milliseconds: the load reports of the other instances and the accepted prompts.
     */
    private static final long REACTION_TIME_MS = 1_500;

    private final Set<RunningStream> mStreams = new LinkedHashSet<>();
    private double mMsPerEvent;
    private long mMeasuredMs = Long.MIN_VALUE / 2;
    private double mFastestMsPerEvent = Double.MAX_VALUE;
    private double mFastestBeforeMsPerEvent = Double.MAX_VALUE;
    private long mFastestWindowStartMs = Long.MIN_VALUE / 2;
    private double mMissingMs;
    private long mMissingUpdatedMs = Long.MIN_VALUE / 2;

    /** Adds a stream that has received its first event. */
    RunningStream start(double expectedEvents, long deadlineMs, long nowMs) {
        RunningStream stream = new RunningStream(expectedEvents, deadlineMs, nowMs);
        mStreams.add(stream);
        return stream;
    }

    /** Returns the recent pace in milliseconds per event; empty if none has been measured. */
    OptionalDouble msPerEvent(long nowMs) {
        return msPerEvent(PACE_LIFETIME_MS, nowMs);
    }

    /** Returns the pace in milliseconds per event if it was measured within the given time. */
    OptionalDouble msPerEvent(long maxAgeMs, long nowMs) {
        return nowMs - mMeasuredMs <= maxAgeMs
                ? OptionalDouble.of(mMsPerEvent)
                : OptionalDouble.empty();
    }

    /**
     * Returns the time that the running stream with the least slack lacks to end before its
     * deadline if the engine accepts prompts for a little longer, in milliseconds; 0 if none lacks
     * any. Streams that would end too late even at the engine's fastest pace do not count.
     */
    double missingMs() {
        return mMissingMs;
    }

    private void recordPace(double msPerEvent, long nowMs) {
        double retained =
                nowMs - mMeasuredMs > PACE_LIFETIME_MS
                        ? 0
                        : Math.exp((mMeasuredMs - nowMs - 1) / TIME_CONSTANT_MS);
        mMsPerEvent = retained * mMsPerEvent + (1 - retained) * msPerEvent;
        mMeasuredMs = nowMs;
        if (nowMs - mFastestWindowStartMs >= FASTEST_WINDOW_MS) {
            mFastestWindowStartMs = nowMs;
            mFastestBeforeMsPerEvent = mFastestMsPerEvent;
            mFastestMsPerEvent = Double.MAX_VALUE;
        }
        mFastestMsPerEvent = Math.min(mFastestMsPerEvent, msPerEvent);
    }

    private void updateMissing(long nowMs) {
        mMissingUpdatedMs = nowMs;
        double fastestMsPerEvent = Math.min(mFastestMsPerEvent, mFastestBeforeMsPerEvent);
        mMissingMs =
                mStreams.stream()
                        .mapToDouble(stream -> stream.missingMs(fastestMsPerEvent, nowMs))
                        .reduce(0, Math::max);
    }

    /** Represents a stream that the engine generates. */
    final class RunningStream {

        private final double mExpectedEvents;
        private final long mDeadlineMs;
        private long mEvents;
        private long mSampledEvents;
        private long mSampleStartMs;

        private RunningStream(double expectedEvents, long deadlineMs, long nowMs) {
            mExpectedEvents = expectedEvents;
            mDeadlineMs = deadlineMs;
            mSampleStartMs = nowMs;
        }

        /** Records events that have arrived. */
        void eventsReceived(int count, long nowMs) {
            mEvents += count;
            long sampleEvents = mEvents - mSampledEvents;
            if (sampleEvents >= SAMPLE_EVENTS) {
                // Events that were read together would make the engine look infinitely fast.
                double durationMs = Math.max(1, nowMs - mSampleStartMs);
                recordPace(durationMs / sampleEvents, nowMs);
                mSampledEvents = mEvents;
                mSampleStartMs = nowMs;
            }
            if (nowMs - mMissingUpdatedMs >= UPDATE_INTERVAL_MS) {
                updateMissing(nowMs);
            }
        }

        /** Removes the stream. */
        void end() {
            mStreams.remove(this);
            updateMissing(mMissingUpdatedMs);
        }

        private double remainingEvents() {
            return Math.max(1, mExpectedEvents - mEvents);
        }

        private double missingMs(double fastestMsPerEvent, long nowMs) {
            double neededMs = remainingEvents() * fastestMsPerEvent;
            double remainingMs = mDeadlineMs - nowMs;
            return neededMs > remainingMs
                    ? 0
                    : Math.max(0, neededMs * (1 + SAFETY_MARGIN) + REACTION_TIME_MS - remainingMs);
        }
    }
}
