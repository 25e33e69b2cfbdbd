package org.filbertrudder.policy.queueing;

import java.util.HashMap;
import java.util.Map;
import org.filbertrudder.model.AccountId;

/**
 * Estimates how long a new request waits in a fair queue.
 *
 * <p>The tokens ahead of the request are not sufficient for an estimate, because later requests of
 * accounts that have been served less overtake it. For an account with waiting requests, the drain
 * rate of its own queue is therefore taken into account as well.
 */
public final class WaitEstimate {

    /** Scales the estimate, which is an average: half of the requests would wait longer. */
    private static final double SAFETY_FACTOR = 1.25;

    private final DrainRate mTotalRate = new DrainRate();
    private final Map<AccountId, DrainRate> mRatesByAccount = new HashMap<>();

    /** Records that a request of the account has been queued. */
    public void recordEnqueued(AccountId account, long nowMs) {
        mTotalRate.setWaiting(true, nowMs);
        mRatesByAccount.computeIfAbsent(account, key -> new DrainRate()).setWaiting(true, nowMs);
    }

    /** Records the start of a request that has waited. */
    public void recordStarted(AccountId account, long tokens, long nowMs) {
        mTotalRate.recordStart(tokens, nowMs);
        DrainRate accountRate = mRatesByAccount.get(account);
        if (accountRate != null) {
            accountRate.recordStart(tokens, nowMs);
        }
    }

    /** Records whether the queue is empty, and drops accounts without waiting requests. */
    public void updateFromQueue(FairQueue<?> queue, long nowMs) {
        mTotalRate.setWaiting(queue.size() > 0, nowMs);
        mRatesByAccount.keySet().removeIf(account -> queue.waitingTokens(account) == 0);
    }

    /** Returns the estimated wait of a new request of the account, in milliseconds. */
    public long waitMs(AccountId account, FairQueue<?> queue, long nowMs) {
        if (queue.size() == 0) {
            return 0;
        }
        long waitByTokensAheadMs = mTotalRate.waitMs(queue.tokensAhead(account), nowMs);
        return (long)
                (SAFETY_FACTOR
                        * Math.max(
                                waitByTokensAheadMs, waitByAccountQueueMs(account, queue, nowMs)));
    }

    /**
     * Estimates the wait by the account's own queue, whose drain rate is at least an equal share.
     */
    private long waitByAccountQueueMs(AccountId account, FairQueue<?> queue, long nowMs) {
        DrainRate accountRate = mRatesByAccount.get(account);
        if (accountRate == null) {
            return 0;
        }
        long tokens = queue.waitingTokens(account);
        long equalShareMs = mTotalRate.waitMs(tokens * mRatesByAccount.size(), nowMs);
        return Math.min(accountRate.waitMs(tokens, nowMs), equalShareMs);
    }
}
