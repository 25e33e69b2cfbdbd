package org.filbertrudder.policy.routing;

import java.util.OptionalDouble;
import org.filbertrudder.policy.routing.GenerationPace.RunningStream;

/** Follows the events of one response stream, from which the pace of its engine is measured. */
final class StreamProgress {

    private final GenerationPace mPace;
    private final OutputEvents mOutputEvents;
    private final long mOutputTokens;
    private final long mDeadlineMs;
    private RunningStream mStream;
    private long mEvents;

    StreamProgress(
            GenerationPace pace, OutputEvents outputEvents, long outputTokens, long deadlineMs) {
        mPace = pace;
        mOutputEvents = outputEvents;
        mOutputTokens = outputTokens;
        mDeadlineMs = deadlineMs;
    }

    /** Records events that have arrived; the first one ends the prefill. */
    void eventsReceived(int count, long nowMs) {
        mEvents += count;
        if (mStream != null) {
            mStream.eventsReceived(count, nowMs);
            return;
        }
        OptionalDouble expectedEvents = mOutputEvents.expectedEvents(mOutputTokens);
        mStream = mPace.start(expectedEvents.orElse(0) - mEvents, mDeadlineMs, nowMs);
    }

    /** Records that the response is complete. */
    void completed() {
        if (mEvents > 0) {
            mOutputEvents.recordCompleted(mOutputTokens, mEvents);
        }
    }

    /** Ends the stream, complete or not. */
    void end() {
        if (mStream != null) {
            mStream.end();
            mStream = null;
        }
    }
}
