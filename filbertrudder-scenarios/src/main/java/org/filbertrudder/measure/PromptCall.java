package org.filbertrudder.measure;

import java.util.Optional;
import org.filbertrudder.measure.SharedPartsBound.Started;
import org.filbertrudder.model.EndpointId;

/** Follows a recorded request from its arrival until it is answered or its caller leaves. */
final class PromptCall {

    private static final double NEVER_MS = Double.MAX_VALUE;

    private final VirtualTimeline mTimeline;
    private final RecordedPrompt mPrompt;
    private Runnable mOnLeave = () -> {};
    private Optional<PromptEngine.Run> mRun = Optional.empty();
    private Optional<Sending> mSending = Optional.empty();
    private double mFirstTokenMs = NEVER_MS;
    private boolean mEnded;
    private boolean mAnswered;

    PromptCall(VirtualTimeline timeline, RecordedPrompt prompt) {
        mTimeline = timeline;
        mPrompt = prompt;
        timeline.add(prompt.arrivedMs() + prompt.deadlineMs(), this::leave);
    }

    RecordedPrompt prompt() {
        return mPrompt;
    }

    boolean ended() {
        return mEnded;
    }

    /** Returns the time until the caller leaves, in milliseconds. */
    long remainingMs() {
        return (long) (mPrompt.arrivedMs() + mPrompt.deadlineMs() - mTimeline.nowMs());
    }

    /** Sets what releases the request if its caller leaves. */
    void setOnLeave(Runnable onLeave) {
        mOnLeave = onLeave;
    }

    /** Records that the request is sent to an engine now. */
    void sentTo(EndpointId engine) {
        mSending = Optional.of(new Sending(engine, mTimeline.nowMs()));
    }

    /** Returns where and when the request was sent; empty if it was not. */
    Optional<Sending> sending() {
        return mSending;
    }

    void setRun(PromptEngine.Run run) {
        mRun = Optional.of(run);
    }

    void onEngineEvent() {
        mFirstTokenMs = Math.min(mFirstTokenMs, mTimeline.nowMs());
    }

    void answered() {
        mAnswered = true;
        mEnded = true;
    }

    void refused() {
        mEnded = true;
    }

    private void leave() {
        if (!mEnded) {
            mEnded = true;
            mRun.ifPresent(PromptEngine.Run::cancel);
            mOnLeave.run();
        }
    }

    /** Returns the request with the time of its first token; empty if it has got none. */
    Optional<Started> started() {
        return mFirstTokenMs == NEVER_MS
                ? Optional.empty()
                : Optional.of(new Started(mPrompt, mFirstTokenMs));
    }

    boolean servedInTime() {
        return mAnswered && mFirstTokenMs <= mPrompt.arrivedMs() + mPrompt.goalMs();
    }

    /** Describes the sending of a request to an engine. */
    record Sending(EndpointId engine, double atMs) {}
}
