package org.filbertrudder.entry.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.InstanceId;

/** Holds a request for tokens that has not been answered. */
final class PendingReservation {

    private static final long HOLDER_SEARCH_MS = 3_000;
    private static final long SEARCH_INTERVAL_MS = 500;

    private final AccountId mAccount;
    private final long mTokens;
    private final long mDeadlineMs;
    private final long mSearchUntilMs;
    private final CompletableFuture<TokenGrant> mResult = new CompletableFuture<>();
    private final Deque<InstanceId> mHolders = new ArrayDeque<>();
    private InstanceId mHolder;
    private long mAskedMs;
    private long mSearchedMs;
    private int mSearchedState;

    PendingReservation(AccountId account, long tokens, long nowMs, long waitMs) {
        mAccount = account;
        mTokens = tokens;
        mDeadlineMs = nowMs + waitMs;
        mSearchUntilMs = nowMs + Math.min(waitMs, HOLDER_SEARCH_MS);
    }

    AccountId account() {
        return mAccount;
    }

    long tokens() {
        return mTokens;
    }

    /** Returns when the request stops to wait for tokens, by this instance's clock. */
    long deadlineMs() {
        return mDeadlineMs;
    }

    CompletableFuture<TokenGrant> result() {
        return mResult;
    }

    /** Returns the holder that was asked last. */
    InstanceId holder() {
        return mHolder;
    }

    /** Returns when that holder was asked. */
    long askedMs() {
        return mAskedMs;
    }

    /**
     * Replaces the holders to ask.
     *
     * @param state identifies the state of owners and members that the holders come from
     */
    void setHolders(List<InstanceId> holders, int state, long nowMs) {
        mHolders.clear();
        mHolders.addAll(holders);
        mSearchedState = state;
        mSearchedMs = nowMs;
    }

    /** Moves on to the next holder; returns whether there is one. */
    boolean moveToNextHolder(long nowMs) {
        mHolder = mHolders.pollFirst();
        mAskedMs = nowMs;
        return mHolder != null;
    }

    /**
     * Returns whether a holder may still turn up in time.
     *
     * <p>While a shard passes from one instance to another, nobody holds it for a moment.
     */
    boolean maySearch(long nowMs) {
        return nowMs < mSearchUntilMs;
    }

    /** Returns whether it is time to look for a holder again. */
    boolean searchDue(int state, long nowMs) {
        return state != mSearchedState || nowMs - mSearchedMs >= SEARCH_INTERVAL_MS;
    }
}
