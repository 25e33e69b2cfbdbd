package org.filbertrudder.policy.scheduling;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.filbertrudder.policy.routing.PrefixCacheHints;
import org.filbertrudder.policy.routing.PromptDemand;

/**
 * Holds the requests that have been started on an engine and have not ended, and the prompt parts
 * that the engine has read or is reading for them.
 */
final class OpenPrompts {

    private final PrefixCacheHints mCachedParts = new PrefixCacheHints();
    private final PrefixCacheHints mPartsBeingRead = new PrefixCacheHints();
    private final Map<StartId, OpenPrompt> mOpen = new HashMap<>();
    private final Map<StartId, OpenPrompt> mUnread = new LinkedHashMap<>();
    private long mUnreadTokens;
    private long mFirstUnreadTokens;
    private long mMemoryTokens;
    private long mNextDeadlineMs = Long.MAX_VALUE;

    int count() {
        return mOpen.size();
    }

    /** Returns whether no prompt waits to be read. */
    boolean isAllRead() {
        return mUnread.isEmpty();
    }

    /** Returns the uncached tokens of all prompts whose responses have not begun. */
    long unreadTokens() {
        return mUnreadTokens;
    }

    /** Returns the uncached tokens of the prompt that is read first. */
    long firstUnreadTokens() {
        return mFirstUnreadTokens;
    }

    long memoryTokens() {
        return mMemoryTokens;
    }

    boolean isUnread(StartId id) {
        return mUnread.containsKey(id);
    }

    boolean contains(StartId id) {
        return mOpen.containsKey(id);
    }

    /** Returns the tokens of the shared parts that are neither cached nor being read. */
    long uncachedSharedTokens(PromptDemand prompt, long nowMs) {
        long cachedTokens =
                Math.max(
                        mCachedParts.cachedTokens(prompt, nowMs),
                        mPartsBeingRead.cachedTokens(prompt, nowMs));
        return prompt.sharedTokens() - cachedTokens;
    }

    /** Returns the tokens of the prompt that the engine would have to read. */
    long uncachedTokens(PromptDemand prompt, long nowMs) {
        return tokensToRead(prompt, uncachedSharedTokens(prompt, nowMs));
    }

    static long tokensToRead(PromptDemand prompt, long uncachedSharedTokens) {
        return Math.max(0, prompt.promptTokens() - prompt.sharedTokens() + uncachedSharedTokens);
    }

    /**
     * Adds a request whose prompt has not been read.
     *
     * @param workMs the work clock of the engine at the start
     */
    void start(StartId id, PromptDemand prompt, long deadlineMs, long nowMs, double workMs) {
        OpenPrompt open = new OpenPrompt(prompt, nowMs, workMs, deadlineMs, mUnread.isEmpty());
        mOpen.put(id, open);
        mUnread.put(id, open);
        mMemoryTokens += prompt.memoryTokens();
        mNextDeadlineMs = Math.min(mNextDeadlineMs, deadlineMs);
        addUnread(open, nowMs);
    }

    /** Records that the engine has read a prompt; returns null if it had before. */
    OpenPrompt begin(StartId id, long nowMs) {
        OpenPrompt open = mUnread.remove(id);
        if (open != null) {
            mCachedParts.markCached(open.mPrompt, nowMs);
            mUnreadTokens -= open.mUncachedTokens;
            updateFirst();
        }
        return open;
    }

    /** Removes a request; a prompt that was not read leaves no cached parts. */
    OpenPrompt remove(StartId id, long nowMs) {
        OpenPrompt open = mOpen.remove(id);
        if (open != null) {
            mMemoryTokens -= open.mPrompt.memoryTokens();
            if (mUnread.remove(id) != null) {
                recount(nowMs);
            }
        }
        return open;
    }

    /**
     * Removes the requests that have not begun by their deadline; returns whether there are any.
     */
    boolean removeExpired(long nowMs) {
        if (nowMs < mNextDeadlineMs) {
            return false;
        }
        int unread = mUnread.size();
        mNextDeadlineMs = Long.MAX_VALUE;
        for (Iterator<Map.Entry<StartId, OpenPrompt>> entries = mUnread.entrySet().iterator();
                entries.hasNext(); ) {
            Map.Entry<StartId, OpenPrompt> entry = entries.next();
            if (nowMs >= entry.getValue().mDeadlineMs) {
                mMemoryTokens -= entry.getValue().mPrompt.memoryTokens();
                mOpen.remove(entry.getKey());
                entries.remove();
            } else {
                mNextDeadlineMs = Math.min(mNextDeadlineMs, entry.getValue().mDeadlineMs);
            }
        }
        recount(nowMs);
        return mUnread.size() < unread;
    }

    /** Other prompts read the shared parts of a prompt that was removed before it was read. */
    private void recount(long nowMs) {
        mPartsBeingRead.clear();
        mUnreadTokens = 0;
        mUnread.values().forEach(open -> addUnread(open, nowMs));
        updateFirst();
    }

    /** Records that the engine may have lost the parts that it has read or is reading. */
    void clearCachedParts() {
        mCachedParts.clear();
        mPartsBeingRead.clear();
    }

    private void addUnread(OpenPrompt open, long nowMs) {
        open.mUncachedTokens = uncachedTokens(open.mPrompt, nowMs);
        mUnreadTokens += open.mUncachedTokens;
        mPartsBeingRead.markCached(open.mPrompt, nowMs);
        updateFirst();
    }

    private void updateFirst() {
        mFirstUnreadTokens =
                mUnread.isEmpty() ? 0 : mUnread.values().iterator().next().mUncachedTokens;
    }

    /** Holds a request that has not ended. */
    static final class OpenPrompt {

        private final PromptDemand mPrompt;
        private final long mStartedMs;
        private final double mStartWorkMs;
        private final long mDeadlineMs;
        private final boolean mMetIdleEngine;
        private long mUncachedTokens;

        private OpenPrompt(
                PromptDemand prompt,
                long startedMs,
                double startWorkMs,
                long deadlineMs,
                boolean metIdleEngine) {
            mPrompt = prompt;
            mStartedMs = startedMs;
            mStartWorkMs = startWorkMs;
            mDeadlineMs = deadlineMs;
            mMetIdleEngine = metIdleEngine;
        }

        PromptDemand prompt() {
            return mPrompt;
        }

        long startedMs() {
            return mStartedMs;
        }

        /** Returns the work clock of the engine at the start. */
        double startWorkMs() {
            return mStartWorkMs;
        }

        /** Returns whether no other prompt was waiting to be read at the start. */
        boolean metIdleEngine() {
            return mMetIdleEngine;
        }

        long uncachedTokens() {
            return mUncachedTokens;
        }
    }
}
