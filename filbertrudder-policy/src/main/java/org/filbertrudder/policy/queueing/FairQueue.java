package org.filbertrudder.policy.queueing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.filbertrudder.model.AccountId;

/**
 * Orders waiting requests so that every client account gets an equal share of the tokens served.
 *
 * <p>Each account has a queue and a virtual finish time that grows with the tokens it is served.
 * The account that has been served least goes first; among equals, the smaller request.
 *
 * @param <T> the type of the waiting requests
 */
public final class FairQueue<T> {

    private final Map<AccountId, AccountQueue<T>> mQueues = new HashMap<>();
    private double mVirtualTime;
    private int mSize;
    private Waiting<T> mLastPolled;
    private double mLastServedBefore;

    /** Adds a request that costs the given number of tokens and must start by the deadline. */
    public void add(AccountId account, T request, long tokens, long deadlineMs) {
        AccountQueue<T> queue =
                mQueues.computeIfAbsent(account, key -> new AccountQueue<>(account));
        if (queue.mWaiting.isEmpty()) {
            queue.mServed = Math.max(queue.mServed, mVirtualTime);
        }
        queue.mWaiting.addLast(new Waiting<>(request, tokens, deadlineMs));
        queue.mWaitingTokens += tokens;
        mSize++;
    }

    /** Returns a request that was polled but could not start to the head of its account's queue. */
    public void putBack(AccountId account, T request) {
        if (mLastPolled == null || !mLastPolled.request().equals(request)) {
            throw new IllegalStateException("Only the request polled last can be put back.");
        }
        AccountQueue<T> queue =
                mQueues.computeIfAbsent(account, key -> new AccountQueue<>(account));
        queue.mServed = mLastServedBefore;
        queue.mWaiting.addFirst(mLastPolled);
        queue.mWaitingTokens += mLastPolled.tokens();
        mLastPolled = null;
        mSize++;
    }

    /** Removes and returns the request that runs next. */
    public Optional<T> poll() {
        Optional<AccountQueue<T>> next =
                mQueues.values().stream()
                        .filter(queue -> !queue.mWaiting.isEmpty())
                        .min(AccountQueue.order());
        return next.map(this::take);
    }

    private T take(AccountQueue<T> queue) {
        Waiting<T> first = queue.mWaiting.removeFirst();
        queue.mWaitingTokens -= first.tokens();
        mLastPolled = first;
        mLastServedBefore = queue.mServed;
        mVirtualTime = Math.max(mVirtualTime, queue.mServed);
        queue.mServed += first.tokens();
        mSize--;
        forgetIdle();
        return first.request();
    }

    /** Forgets accounts that would start afresh anyway. */
    private void forgetIdle() {
        mQueues.values()
                .removeIf(queue -> queue.mWaiting.isEmpty() && queue.mServed <= mVirtualTime);
    }

    /** Removes and returns the requests whose deadline has passed. */
    public List<T> removeExpired(long nowMs) {
        return removeWhere(waiting -> waiting.deadlineMs() <= nowMs);
    }

    /** Removes a request whose caller has left; returns whether it was waiting. */
    public boolean remove(T request) {
        return !removeWhere(waiting -> waiting.request().equals(request)).isEmpty();
    }

    private List<T> removeWhere(Predicate<Waiting<T>> condition) {
        List<T> removed = new ArrayList<>();
        for (AccountQueue<T> queue : mQueues.values()) {
            Iterator<Waiting<T>> each = queue.mWaiting.iterator();
            while (each.hasNext()) {
                Waiting<T> waiting = each.next();
                if (condition.test(waiting)) {
                    each.remove();
                    queue.mWaitingTokens -= waiting.tokens();
                    mSize--;
                    removed.add(waiting.request());
                }
            }
        }
        return removed;
    }

    /** Returns the tokens of the requests that would run before a new one of the account. */
    public long tokensAhead(AccountId account) {
        AccountQueue<T> own = mQueues.get(account);
        double served = own == null ? mVirtualTime : Math.max(own.mServed, mVirtualTime);
        double finish = served + (own == null ? 0 : own.tokens());
        double ahead = own == null ? 0 : own.tokens();
        for (AccountQueue<T> other : mQueues.values()) {
            if (other != own) {
                ahead += Math.max(0, Math.min(other.tokens(), finish - other.mServed));
            }
        }
        return (long) ahead;
    }

    /** Returns the number of waiting requests. */
    public int size() {
        return mSize;
    }

    private record Waiting<T>(T request, long tokens, long deadlineMs) {}

    /** Holds the waiting requests of one account. */
    private static final class AccountQueue<T> {

        private final AccountId mAccount;
        private final Deque<Waiting<T>> mWaiting = new ArrayDeque<>();
        private double mServed;
        private long mWaitingTokens;

        AccountQueue(AccountId account) {
            mAccount = account;
        }

        static <T> Comparator<AccountQueue<T>> order() {
            Comparator<AccountQueue<T>> leastServed =
                    Comparator.comparingDouble(queue -> queue.mServed);
            return leastServed
                    .thenComparingLong(queue -> queue.mWaiting.peekFirst().tokens())
                    .thenComparing(queue -> queue.mAccount);
        }

        long tokens() {
            return mWaitingTokens;
        }
    }
}
