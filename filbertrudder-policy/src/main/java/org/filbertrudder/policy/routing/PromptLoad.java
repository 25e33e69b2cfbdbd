package org.filbertrudder.policy.routing;

/**
 * Holds the part of an engine's estimated load that one request causes.
 *
 * <p>The prefill time is released at the first token, the memory at the end of the request.
 */
public final class PromptLoad {

    private final Runnable mOnPrefillFinished;
    private final Runnable mOnEnd;
    private boolean mPrefillFinished;
    private boolean mEnded;

    PromptLoad(Runnable onPrefillFinished, Runnable onEnd) {
        mOnPrefillFinished = onPrefillFinished;
        mOnEnd = onEnd;
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
            mOnEnd.run();
        }
    }
}
