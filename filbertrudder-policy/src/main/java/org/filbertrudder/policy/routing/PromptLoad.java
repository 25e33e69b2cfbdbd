package org.filbertrudder.policy.routing;

/**
 * Holds the part of an engine's estimated load that one request causes.
 *
 * <p>The prefill time is released at the first token, the memory at the end of the request.
 */
public final class PromptLoad {

    private final Runnable mOnPrefillFinished;
    private final Runnable mOnEnd;
    private final StreamProgress mProgress;
    private boolean mPrefillFinished;
    private boolean mEnded;

    PromptLoad(Runnable onPrefillFinished, Runnable onEnd, StreamProgress progress) {
        mOnPrefillFinished = onPrefillFinished;
        mOnEnd = onEnd;
        mProgress = progress;
    }

    /** Records events of the response stream, which show the pace of the engine. */
    public void eventsReceived(int count, long nowMs) {
        if (!mEnded) {
            prefillFinished();
            mProgress.eventsReceived(count, nowMs);
        }
    }

    /** Releases the load of a request whose response is complete. */
    public void complete() {
        if (!mEnded) {
            mProgress.completed();
        }
        release();
    }

    /** Releases the prefill time; the first token shows that the prefill has finished. */
    public void prefillFinished() {
        if (!mPrefillFinished) {
            mPrefillFinished = true;
            mOnPrefillFinished.run();
        }
    }

    /** Releases the remaining load of the request; further calls have no effect. */
    public void release() {
        prefillFinished();
        if (!mEnded) {
            mEnded = true;
            mProgress.end();
            mOnEnd.run();
        }
    }
}
