package org.filbertrudder.policy.queueing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
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

    /** Adds a request that costs the given number of tokens and must start by the deadline. */
    public void add(AccountId account, T request, long tokens, long deadlineMs) {
        add(account, request, tokens, deadlineMs, 0);
    }

    /**
     * Adds a request that costs the given number of tokens and must start by the deadline.
     *
     * @param order the account's requests run in ascending order; equal ones as they came
     */
    public void add(AccountId account, T request, long tokens, long deadlineMs, long order) {
        AccountQueue<T> queue =
                mQueues.computeIfAbsent(account, key -> new AccountQueue<>(account));
        if (queue.mWaiting.isEmpty()) {
            queue.mServed = Math.max(queue.mServed, mVirtualTime);
        }
        queue.insert(new Waiting<>(request, tokens, deadlineMs, order));
        queue.mWaitingTokens += tokens;
        mSize++;
    }

    /** Removes and returns the request that runs next. */
    public Optional<T> poll() {
        return poll(request -> Turn.START);
    }

    /**
     * Removes and returns the first request that can start, asking for each in the order of turns.
     *
     * <p>A request that is skipped keeps its place and costs its account nothing.
     */
    public Optional<T> poll(Function<T, Turn> judge) {
        Set<Waiting<T>> skipped = Collections.newSetFromMap(new IdentityHashMap<>());
        while (true) {
            Optional<AccountQueue<T>> queue = next(skipped);
            if (queue.isEmpty()) {
                return Optional.empty();
            }
            Waiting<T> waiting = queue.get().first(skipped);
            switch (judge.apply(waiting.request())) {
                case START -> {
                    return Optional.of(take(queue.get(), waiting));
                }
                case SKIP -> skipped.add(waiting);
                default -> {
                    return Optional.empty();
                }
            }
        }
    }

    private Optional<AccountQueue<T>> next(Set<Waiting<T>> skipped) {
        return mQueues.values().stream()
                .filter(queue -> queue.first(skipped) != null)
                .min(AccountQueue.order(skipped));
    }

    private T take(AccountQueue<T> queue, Waiting<T> waiting) {
        queue.mWaiting.remove(waiting);
        queue.mWaitingTokens -= waiting.tokens();
        mVirtualTime = Math.max(mVirtualTime, queue.mServed);
        queue.mServed += waiting.tokens();
        mSize--;
        forgetIdle();
        return waiting.request();
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

    /** Returns the tokens of the account's waiting requests. */
    public long waitingTokens(AccountId account) {
        AccountQueue<T> own = mQueues.get(account);
        return own == null ? 0 : own.tokens();
    }

    /** Returns the number of waiting requests. */
    public int size() {
        return mSize;
    }

    /** Lists what happens to the request whose turn it is. */
    public enum Turn {
        /** The request starts. */
        START,
        /** The request cannot start now, but others may. */
        SKIP,
        /** Nothing can start now. */
        STOP
    }

    private record Waiting<T>(T request, long tokens, long deadlineMs, long order) {}

    /** Holds the waiting requests of one account. */
    private static final class AccountQueue<T> {

        private final AccountId mAccount;
        private final List<Waiting<T>> mWaiting = new ArrayList<>();
        private double mServed;
        private long mWaitingTokens;

        AccountQueue(AccountId account) {
            mAccount = account;
        }

        /** Adds a request behind all that come before it in order. */
        void insert(Waiting<T> waiting) {
            int at = mWaiting.size();
            while (at > 0 && mWaiting.get(at - 1).order() > waiting.order()) {
                at--;
            }
            mWaiting.add(at, waiting);
        }

        /** Returns the request whose turn is next, or null if there is none. */
        Waiting<T> first(Set<Waiting<T>> skipped) {
            for (Waiting<T> waiting : mWaiting) {
                if (!skipped.contains(waiting)) {
                    return waiting;
                }
            }
            return null;
        }

        static <T> Comparator<AccountQueue<T>> order(Set<Waiting<T>> skipped) {
            Comparator<AccountQueue<T>> leastServed =
                    Comparator.comparingDouble(queue -> queue.mServed);
            return leastServed
                    .thenComparingLong(queue -> queue.first(skipped).tokens())
                    .thenComparing(queue -> queue.mAccount);
        }

        long tokens() {
            return mWaitingTokens;
        }
    }
}
