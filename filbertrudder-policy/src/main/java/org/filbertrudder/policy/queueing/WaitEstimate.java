package org.filbertrudder.policy.queueing;

import java.util.HashMap;
import java.util.Map;
import org.filbertrudder.model.AccountId;

/**
 * Estimates how long a new request waits in a fair queue.
 *
 * <p>What stands before it tells only part: requests of accounts that have been served less keep
 * coming and go first. So an account whose requests wait is also judged by how fast its own queue
 * drains.
 */
public final class WaitEstimate {

    /** Half of the requests whose wait just fits would wait longer than the average one. */
    private static final double MARGIN = 1.25;

    private final DrainRate mAll = new DrainRate();
    private final Map<AccountId, DrainRate> mOwn = new HashMap<>();

    /** Notes that a request of the account begins to wait. */
    public void noteWaiting(AccountId account, long nowMs) {
        mAll.setWaiting(true, nowMs);
        mOwn.computeIfAbsent(account, key -> new DrainRate()).setWaiting(true, nowMs);
    }

    /** Notes that a request which has waited starts. */
    public void noteStart(AccountId account, long tokens, long nowMs) {
        mAll.noteStart(tokens, nowMs);
        DrainRate own = mOwn.get(account);
        if (own != null) {
            own.noteStart(tokens, nowMs);
        }
    }

    /** Forgets the accounts of which nothing waits any more. */
    public void noteQueue(FairQueue<?> queue, long nowMs) {
        mAll.setWaiting(queue.size() > 0, nowMs);
        mOwn.keySet().removeIf(account -> queue.waitingTokens(account) == 0);
    }

    /** Returns how long a new request of the account would wait, in milliseconds. */
    public long waitMs(AccountId account, FairQueue<?> queue, long nowMs) {
        if (queue.size() == 0) {
            return 0;
        }
        long byAllMs = mAll.waitMs(queue.tokensAhead(account), nowMs);
        return (long) (MARGIN * Math.max(byAllMs, byOwnMs(account, queue, nowMs)));
    }

    /** Estimates by the account's own queue, which drains at least with an equal share of all. */
    private long byOwnMs(AccountId account, FairQueue<?> queue, long nowMs) {
        DrainRate own = mOwn.get(account);
        if (own == null) {
            return 0;
        }
        long tokens = queue.waitingTokens(account);
        long equalShareMs = mAll.waitMs(tokens * mOwn.size(), nowMs);
        return Math.min(own.waitMs(tokens, nowMs), equalShareMs);
    }
}
