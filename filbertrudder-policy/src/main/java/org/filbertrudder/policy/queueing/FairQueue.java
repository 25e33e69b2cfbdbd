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
 * Orders waiting requests by fair queueing, so that every client account gets an equal share of the
 * tokens served.
 *
 * <p>Each account has a queue and a virtual finish time that increases by the tokens of each
 * request served. The account with the lowest virtual finish time is served first; if several have
 * the same, the one with the smaller request.
 *
 * @param <T> the type of the waiting requests
 */
public final class FairQueue<T> {

    private final Map<AccountId, AccountQueue<T>> mQueues = new HashMap<>();
    private double mVirtualTime;
    private int mSize;

    /** Adds a request with sort key 0; see the other overload for the parameters. */
    public void add(AccountId account, T request, long tokens, long deadlineMs) {
        add(account, request, tokens, deadlineMs, 0);
    }

    /**
     * Adds a request.
     *
     * @param tokens the tokens that the request costs
     * @param deadlineMs the time by which the request must start
     * @param sortKey orders the requests of the account, lowest first; equal keys are first in,
     *     first out
     */
    public void add(AccountId account, T request, long tokens, long deadlineMs, long sortKey) {
        AccountQueue<T> queue =
                mQueues.computeIfAbsent(account, key -> new AccountQueue<>(account));
        if (queue.mRequests.isEmpty()) {
            queue.mVirtualFinish = Math.max(queue.mVirtualFinish, mVirtualTime);
        }
        queue.insert(new QueuedRequest<>(request, tokens, deadlineMs, sortKey));
        queue.mWaitingTokens += tokens;
        mSize++;
    }

    /** Removes and returns the request that is served next. */
    public Optional<T> poll() {
        return poll(request -> PollDecision.START);
    }

    /**
     * Removes and returns the first request that can start.
     *
     * <p>Asks for a decision on each request in the order of service. A skipped request keeps its
     * position, and its account is charged no tokens.
     *
     * @param decision decides whether a request starts, is skipped or ends the search
     */
    public Optional<T> poll(Function<T, PollDecision> decision) {
        Set<QueuedRequest<T>> skipped = Collections.newSetFromMap(new IdentityHashMap<>());
        while (true) {
            Optional<AccountQueue<T>> queue = nextQueue(skipped);
            if (queue.isEmpty()) {
                return Optional.empty();
            }
            QueuedRequest<T> queued = queue.get().firstNotSkipped(skipped);
            switch (decision.apply(queued.request())) {
                case START -> {
                    return Optional.of(dequeue(queue.get(), queued));
                }
                case SKIP -> skipped.add(queued);
                default -> {
                    return Optional.empty();
                }
            }
        }
    }

    private Optional<AccountQueue<T>> nextQueue(Set<QueuedRequest<T>> skipped) {
        return mQueues.values().stream()
                .filter(queue -> queue.firstNotSkipped(skipped) != null)
                .min(AccountQueue.inServiceOrder(skipped));
    }

    private T dequeue(AccountQueue<T> queue, QueuedRequest<T> queued) {
        queue.mRequests.remove(queued);
        queue.mWaitingTokens -= queued.tokens();
        mVirtualTime = Math.max(mVirtualTime, queue.mVirtualFinish);
        queue.mVirtualFinish += queued.tokens();
        mSize--;
        removeIdleQueues();
        return queued.request();
    }

    /** Removes empty queues whose account would start at the current virtual time anyway. */
    private void removeIdleQueues() {
        mQueues.values()
                .removeIf(
                        queue -> queue.mRequests.isEmpty() && queue.mVirtualFinish <= mVirtualTime);
    }

    /** Removes and returns the requests whose deadline has passed. */
    public List<T> removeExpired(long nowMs) {
        return removeWhere(queued -> queued.deadlineMs() <= nowMs);
    }

    /** Removes and returns the requests that meet the condition. */
    public List<T> removeIf(Predicate<T> condition) {
        return removeWhere(queued -> condition.test(queued.request()));
    }

    /** Removes a request, for example of a disconnected caller; returns whether it was queued. */
    public boolean remove(T request) {
        return !removeWhere(queued -> queued.request().equals(request)).isEmpty();
    }

    private List<T> removeWhere(Predicate<QueuedRequest<T>> condition) {
        List<T> removed = new ArrayList<>();
        for (AccountQueue<T> queue : mQueues.values()) {
            Iterator<QueuedRequest<T>> iterator = queue.mRequests.iterator();
            while (iterator.hasNext()) {
                QueuedRequest<T> queued = iterator.next();
                if (condition.test(queued)) {
                    iterator.remove();
                    queue.mWaitingTokens -= queued.tokens();
                    mSize--;
                    removed.add(queued.request());
                }
            }
        }
        return removed;
    }

    /** Returns the tokens of the requests that would be served before a new one of the account. */
    public long tokensAhead(AccountId account) {
        AccountQueue<T> ownQueue = mQueues.get(account);
        double virtualStart =
                ownQueue == null ? mVirtualTime : Math.max(ownQueue.mVirtualFinish, mVirtualTime);
        double virtualFinish = virtualStart + (ownQueue == null ? 0 : ownQueue.waitingTokens());
        double tokensAhead = ownQueue == null ? 0 : ownQueue.waitingTokens();
        for (AccountQueue<T> otherQueue : mQueues.values()) {
            if (otherQueue != ownQueue) {
                tokensAhead +=
                        Math.max(
                                0,
                                Math.min(
                                        otherQueue.waitingTokens(),
                                        virtualFinish - otherQueue.mVirtualFinish));
            }
        }
        return (long) tokensAhead;
    }

    /** Returns the tokens of the account's waiting requests. */
    public long waitingTokens(AccountId account) {
        AccountQueue<T> ownQueue = mQueues.get(account);
        return ownQueue == null ? 0 : ownQueue.waitingTokens();
    }

    /** Returns the number of waiting requests. */
    public int size() {
        return mSize;
    }

    /** Lists the possible decisions on the request that is next in the order of service. */
    public enum PollDecision {
        /** The request starts. */
        START,
        /** The request cannot start now, but others may. */
        SKIP,
        /** Nothing can start now. */
        STOP
    }

    private record QueuedRequest<T>(T request, long tokens, long deadlineMs, long sortKey) {}

    /** Holds the waiting requests of one account. */
    private static final class AccountQueue<T> {

        private final AccountId mAccount;
        private final List<QueuedRequest<T>> mRequests = new ArrayList<>();
        private double mVirtualFinish;
        private long mWaitingTokens;

        AccountQueue(AccountId account) {
            mAccount = account;
        }

        /** Inserts a request behind all requests with the same or a lower sort key. */
        void insert(QueuedRequest<T> queued) {
            int index = mRequests.size();
            while (index > 0 && mRequests.get(index - 1).sortKey() > queued.sortKey()) {
                index--;
            }
            mRequests.add(index, queued);
        }

        /** Returns the first request that has not been skipped, or null if there is none. */
        QueuedRequest<T> firstNotSkipped(Set<QueuedRequest<T>> skipped) {
            for (QueuedRequest<T> queued : mRequests) {
                if (!skipped.contains(queued)) {
                    return queued;
                }
            }
            return null;
        }

        static <T> Comparator<AccountQueue<T>> inServiceOrder(Set<QueuedRequest<T>> skipped) {
            Comparator<AccountQueue<T>> byVirtualFinish =
                    Comparator.comparingDouble(queue -> queue.mVirtualFinish);
            return byVirtualFinish
                    .thenComparingLong(queue -> queue.firstNotSkipped(skipped).tokens())
                    .thenComparing(queue -> queue.mAccount);
        }

        long waitingTokens() {
            return mWaitingTokens;
        }
    }
}
