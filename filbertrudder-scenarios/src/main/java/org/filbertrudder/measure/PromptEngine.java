package org.filbertrudder.measure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.filbertrudder.policy.routing.PromptPart;

/**
 * Simulates a model engine that generates for all requests of a batch in steps, reads a chunk of
 * the waiting prompts in each of them, and caches shared parts in the memory that requests leave.
 */
final class PromptEngine {

    static final int SLOTS = 64;
    static final long MEMORY_TOKENS = 400_000;

    /** The highest speed at which an engine reads prompts, in tokens per millisecond. */
    static final double MAX_READ_TOKENS_PER_MS = 61;

    private static final int TOKENS_PER_EVENT = 8;
    private static final double STEP_MS = 3.4;
    private static final double STEP_MS_PER_REQUEST = 0.011;
    private static final long CHUNK_TOKENS = 2_048;

    private final VirtualTimeline mTimeline;
    private final ReadTokens mReadTokens;
    private final Deque<Run> mQueue = new ArrayDeque<>();
    private final List<Run> mBatch = new ArrayList<>();
    private final Map<String, Long> mCachedParts = new LinkedHashMap<>(16, 0.75f, true);
    private long mCachedTokens;
    private long mBatchTokens;
    private double mStepFactor = 1;
    private boolean mStepping;

    PromptEngine(VirtualTimeline timeline, ReadTokens readTokens) {
        mTimeline = timeline;
        mReadTokens = readTokens;
    }

    /** Sets the factor, at least 1, of the time that steps take from the next one on. */
    void setStepFactor(double stepFactor) {
        mStepFactor = stepFactor;
    }

    /** Empties the cache, as a restart does. */
    void clearCache() {
        mCachedParts.clear();
        mCachedTokens = 0;
    }

    /** Queues a request. */
    Run add(RecordedPrompt prompt, EventListener listener) {
        Run run = new Run(prompt, listener);
        mQueue.add(run);
        if (!mStepping) {
            startStep();
        }
        return run;
    }

    private void startStep() {
        removeEnded();
        admit();
        mStepping = !mBatch.isEmpty();
        if (!mStepping) {
            return;
        }
        long chunkTokens = 0;
        for (Run run : mBatch) {
            chunkTokens += run.planChunk(CHUNK_TOKENS - chunkTokens);
        }
        double stepMs =
                STEP_MS
                        + STEP_MS_PER_REQUEST * mBatch.size()
                        + chunkTokens / MAX_READ_TOKENS_PER_MS;
        mTimeline.add(mTimeline.nowMs() + mStepFactor * stepMs, this::endStep);
    }

    private void endStep() {
        for (Run run : List.copyOf(mBatch)) {
            if (run.readChunk()) {
                cacheSharedParts(run);
            }
            if (run.mUnreadTokens == 0 && !run.mCancelled) {
                run.generate();
            }
        }
        startStep();
    }

    private void removeEnded() {
        mQueue.removeIf(run -> run.mCancelled);
        for (Iterator<Run> runs = mBatch.iterator(); runs.hasNext(); ) {
            Run run = runs.next();
            if (run.mCancelled || run.isFinished()) {
                runs.remove();
                mBatchTokens -= run.memoryTokens();
            }
        }
    }

    private void admit() {
        while (!mQueue.isEmpty()
                && mBatch.size() < SLOTS
                && (mBatch.isEmpty()
                        || mBatchTokens + mQueue.peek().memoryTokens() <= MEMORY_TOKENS)) {
            Run run = mQueue.poll();
            run.lookUpCache();
            mBatchTokens += run.memoryTokens();
            mBatch.add(run);
        }
        evict();
    }

    private void cacheSharedParts(Run run) {
        for (PromptPart part : run.sharedParts()) {
            if (mCachedParts.put(part.id(), part.tokens()) == null) {
                mCachedTokens += part.tokens();
            }
        }
        evict();
    }

    private void evict() {
        Iterator<Long> leastRecentlyUsed = mCachedParts.values().iterator();
        while (mBatchTokens + mCachedTokens > MEMORY_TOKENS && leastRecentlyUsed.hasNext()) {
            mCachedTokens -= leastRecentlyUsed.next();
            leastRecentlyUsed.remove();
        }
    }

    /** Receives the events of a response. */
    @FunctionalInterface
    interface EventListener {

        /** Handles an event; the last one completes the response. */
        void onEvent(boolean last);
    }

    /** Holds the progress of one request in the engine. */
    final class Run {

        private final RecordedPrompt mPrompt;
        private final EventListener mListener;
        private final Deque<UnreadPart> mUnreadParts = new ArrayDeque<>();
        private long mUnreadTokens;
        private long mChunkTokens;
        private int mTokens;
        private boolean mCancelled;

        private Run(RecordedPrompt prompt, EventListener listener) {
            mPrompt = prompt;
            mListener = listener;
        }

        /** Ends the request after the current step. */
        void cancel() {
            mCancelled = true;
        }

        private List<PromptPart> sharedParts() {
            List<PromptPart> parts = mPrompt.demand().parts();
            return parts.subList(0, parts.size() - 1);
        }

        private void lookUpCache() {
            boolean found = true;
            for (PromptPart part : sharedParts()) {
                found &= mCachedParts.get(part.id()) != null;
                if (found) {
                    mReadTokens.addFound(part.tokens());
                } else {
                    mUnreadParts.add(new UnreadPart(part, true));
                }
            }
            List<PromptPart> parts = mPrompt.demand().parts();
            mUnreadParts.add(new UnreadPart(parts.get(parts.size() - 1), false));
            mUnreadTokens = mUnreadParts.stream().mapToLong(part -> part.mTokens).sum();
        }

        private long planChunk(long maxTokens) {
            mChunkTokens = Math.min(mUnreadTokens, maxTokens);
            return mChunkTokens;
        }

        /** Reads the planned chunk; returns whether it was the last one of the prompt. */
        private boolean readChunk() {
            if (mUnreadTokens == 0) {
                return false;
            }
            mUnreadTokens -= mChunkTokens;
            long remaining = mChunkTokens;
            while (remaining > 0) {
                UnreadPart part = mUnreadParts.peek();
                long tokens = Math.min(remaining, part.mTokens);
                part.read(tokens);
                remaining -= tokens;
                if (part.mTokens == 0) {
                    mUnreadParts.poll();
                }
            }
            return mUnreadTokens == 0;
        }

        private void generate() {
            mTokens++;
            if (mTokens % TOKENS_PER_EVENT == 1 || isFinished()) {
                mListener.onEvent(isFinished());
            }
        }

        private boolean isFinished() {
            return mTokens >= mPrompt.outputTokens();
        }

        private long memoryTokens() {
            return mPrompt.demand().promptTokens() + mPrompt.outputTokens();
        }
    }

    /** Holds the tokens of a part that a request has yet to read. */
    private final class UnreadPart {

        private final PromptPart mPart;
        private final boolean mShared;
        private long mTokens;

        private UnreadPart(PromptPart part, boolean shared) {
            mPart = part;
            mShared = shared;
            mTokens = part.tokens();
        }

        private void read(long tokens) {
            mTokens -= tokens;
            if (mShared) {
                mReadTokens.addShared(mPart.id(), mPart.tokens(), tokens);
            } else {
                mReadTokens.addOwn(tokens);
            }
        }
    }
}
