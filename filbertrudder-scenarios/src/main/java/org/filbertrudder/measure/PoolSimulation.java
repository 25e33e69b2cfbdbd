package org.filbertrudder.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.HdrHistogram.Histogram;
import org.filbertrudder.model.AccountId;

/** Simulates a pool of slots that serves the requests of several accounts, with a virtual clock. */
final class PoolSimulation {

    private final int mSlots;
    private final double mTokensPerSecondPerSlot;
    private final RequestQueue mQueue;
    private final long mMaxWaitMs;
    private final PriorityQueue<Long> mSlotEndTimes = new PriorityQueue<>();
    private final Map<AccountId, AccountResult> mResults = new HashMap<>();
    private long mNowMs;

    /** Creates a pool whose slots each generate the given number of tokens per second. */
    PoolSimulation(int slots, double tokensPerSecondPerSlot, long maxWaitMs, RequestQueue queue) {
        mSlots = slots;
        mTokensPerSecondPerSlot = tokensPerSecondPerSlot;
        mMaxWaitMs = maxWaitMs;
        mQueue = queue;
    }

    /**
     * Simulates the arrivals, which must be in the order of admission, until all have ended, and
     * returns the results by account.
     */
    Map<AccountId, AccountResult> run(List<Arrival> arrivals) {
        for (Arrival arrival : arrivals) {
            advanceTo(arrival.admittedMs());
            resultOf(arrival.account()).mArrived++;
            mQueue.add(arrival, arrival.admittedMs() + mMaxWaitMs);
            startWaiting();
        }
        while (!mSlotEndTimes.isEmpty()) {
            advanceTo(mSlotEndTimes.peek());
        }
        return mResults;
    }

    private void advanceTo(long untilMs) {
        while (!mSlotEndTimes.isEmpty() && mSlotEndTimes.peek() <= untilMs) {
            mNowMs = mSlotEndTimes.poll();
            startWaiting();
        }
        mNowMs = untilMs;
    }

    private void startWaiting() {
        for (Arrival expired : mQueue.removeExpired(mNowMs)) {
            resultOf(expired.account()).mRejected++;
        }
        while (mSlotEndTimes.size() < mSlots) {
            Optional<Arrival> next = mQueue.poll();
            if (next.isEmpty()) {
                return;
            }
            Arrival arrival = next.get();
            AccountResult result = resultOf(arrival.account());
            result.mFirstTokenMs.recordValue(mNowMs - arrival.arrivalMs());
            result.mServedTokens += arrival.tokens();
            long durationMs = (long) (arrival.tokens() * 1_000 / mTokensPerSecondPerSlot);
            mSlotEndTimes.add(mNowMs + durationMs);
        }
    }

    private AccountResult resultOf(AccountId account) {
        return mResults.computeIfAbsent(account, key -> new AccountResult());
    }

    /**
     * Describes a simulated request.
     *
     * @param arrivalMs the time of arrival
     * @param account the client account that sends it
     * @param tokens the number of tokens that it generates
     * @param admittedMs the time at which its tokens were granted
     */
    record Arrival(long arrivalMs, AccountId account, long tokens, long admittedMs) {

        static Arrival of(long arrivalMs, AccountId account, long tokens) {
            return new Arrival(arrivalMs, account, tokens, arrivalMs);
        }

        Arrival admittedAt(long newAdmittedMs) {
            return new Arrival(arrivalMs, account, tokens, newAdmittedMs);
        }
    }

    /** Decides the order in which waiting requests start. */
    interface RequestQueue {

        /** Adds a request that must start by the deadline. */
        void add(Arrival arrival, long deadlineMs);

        /** Removes and returns the next request. */
        Optional<Arrival> poll();

        /** Removes the requests whose deadline has passed. */
        List<Arrival> removeExpired(long nowMs);
    }

    /** Holds the results of an account: counts of its requests and times to the first token. */
    static final class AccountResult {

        private final Histogram mFirstTokenMs = new Histogram(3_600_000, 3);
        private long mArrived;
        private long mRejected;
        private long mServedTokens;

        long arrived() {
            return mArrived;
        }

        long rejected() {
            return mRejected;
        }

        long servedTokens() {
            return mServedTokens;
        }

        long firstTokenMs(double percentile) {
            return mFirstTokenMs.getValueAtPercentile(percentile);
        }
    }

    /** Serves requests in the order of arrival, as the baseline. */
    static final class FirstComeFirstServedQueue implements RequestQueue {

        private final List<Arrival> mWaiting = new ArrayList<>();
        private final Map<Arrival, Long> mDeadlines = new HashMap<>();

        @Override
        public void add(Arrival arrival, long deadlineMs) {
            mWaiting.add(arrival);
            mDeadlines.put(arrival, deadlineMs);
        }

        @Override
        public Optional<Arrival> poll() {
            return mWaiting.isEmpty() ? Optional.empty() : Optional.of(mWaiting.remove(0));
        }

        @Override
        public List<Arrival> removeExpired(long nowMs) {
            List<Arrival> expired = new ArrayList<>();
            mWaiting.removeIf(arrival -> mDeadlines.get(arrival) <= nowMs && expired.add(arrival));
            return expired;
        }
    }
}
