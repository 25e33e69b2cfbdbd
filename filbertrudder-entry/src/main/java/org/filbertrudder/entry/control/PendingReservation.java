package org.filbertrudder.entry.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.InstanceId;

/** Represents a request for tokens that has neither been granted nor refused. */
final class PendingReservation {

    private static final long MAX_HOLDER_SEARCH_MS = 3_000;
    private static final long SEARCH_INTERVAL_MS = 500;

    private final AccountId mAccount;
    private final long mTokens;
    private final long mDeadlineMs;
    private final long mSearchDeadlineMs;
    private final CompletableFuture<TokenGrant> mResult = new CompletableFuture<>();
    private final Deque<InstanceId> mRemainingHolders = new ArrayDeque<>();
    private InstanceId mCurrentHolder;
    private long mRequestSentMs;
    private long mLastSearchMs;
    private int mLastSearchHash;

    PendingReservation(AccountId account, long tokens, long nowMs, long waitMs) {
        mAccount = account;
        mTokens = tokens;
        mDeadlineMs = nowMs + waitMs;
        mSearchDeadlineMs = nowMs + Math.min(waitMs, MAX_HOLDER_SEARCH_MS);
    }

    AccountId account() {
        return mAccount;
    }

    long tokens() {
        return mTokens;
    }

    /** Returns until when the request may wait for tokens, by this instance's clock. */
    long deadlineMs() {
        return mDeadlineMs;
    }

    CompletableFuture<TokenGrant> result() {
        return mResult;
    }

    /** Returns the holder to which the request was sent last. */
    InstanceId currentHolder() {
        return mCurrentHolder;
    }

    /** Returns when the request was sent to the current holder. */
    long requestSentMs() {
        return mRequestSentMs;
    }

    /**
     * Replaces the holders to which the request is sent in turn.
     *
     * @param ownersAndMembersHash a hash of the owners and members from which the holders were
     *     determined
     */
    void setHolders(List<InstanceId> holders, int ownersAndMembersHash, long nowMs) {
        mRemainingHolders.clear();
        mRemainingHolders.addAll(holders);
        mLastSearchHash = ownersAndMembersHash;
        mLastSearchMs = nowMs;
    }

    /** Selects the next holder; returns whether there is one. */
    boolean selectNextHolder(long nowMs) {
        mCurrentHolder = mRemainingHolders.pollFirst();
        mRequestSentMs = nowMs;
        return mCurrentHolder != null;
    }

    /**
     * Returns whether the search for a holder may continue.
     *
     * <p>A shard has no holder for a short time while it is handed over to another instance.
     */
    boolean isSearchAllowed(long nowMs) {
        return nowMs < mSearchDeadlineMs;
    }

    /** Returns whether the owners or members have changed or the search interval has passed. */
    boolean isSearchDue(int ownersAndMembersHash, long nowMs) {
        return ownersAndMembersHash != mLastSearchHash
                || nowMs - mLastSearchMs >= SEARCH_INTERVAL_MS;
    }
}
