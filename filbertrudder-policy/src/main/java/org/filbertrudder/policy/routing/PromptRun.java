package org.filbertrudder.policy.routing;

/** Represents a request's part of the estimated load of an engine, until it ends. */
public final class PromptRun {

    private final Runnable mOnRead;
    private final Runnable mOnEnd;
    private boolean mRead;
    private boolean mEnded;

    PromptRun(Runnable onRead, Runnable onEnd) {
        mOnRead = onRead;
        mOnEnd = onEnd;
    }

    /** Notes that the engine has read the prompt, as its first token shows. */
    public void noteRead() {
        if (!mRead) {
            mRead = true;
            mOnRead.run();
        }
    }

    /** Notes that the request no longer runs. */
    public void end() {
        noteRead();
        if (!mEnded) {
            mEnded = true;
            mOnEnd.run();
        }
    }
}
