package org.filbertrudder.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.HdrHistogram.Histogram;
import org.filbertrudder.model.AccountId;

/** Runs requests of several accounts through one pool of slots under a virtual clock. */
final class PoolModel {

    private final int mSlots;
    private final double mTokensPerSecond;
    private final WaitingLine mLine;
    private final long mMaxWaitMs;
    private final PriorityQueue<Long> mSlotEnds = new PriorityQueue<>();
    private final Map<AccountId, Outcome> mOutcomes = new HashMap<>();
    private long mNowMs;

    /** Creates a pool whose slots each write a number of tokens a second. */
    PoolModel(int slots, double tokensPerSecond, long maxWaitMs, WaitingLine line) {
        mSlots = slots;
        mTokensPerSecond = tokensPerSecond;
        mMaxWaitMs = maxWaitMs;
        mLine = line;
    }

    /**
     * Runs the arrivals, which must be in the order of their admission, and then what still waits.
     */
    Map<AccountId, Outcome> run(List<Arrival> arrivals) {
        for (Arrival arrival : arrivals) {
            advance(arrival.admittedMs());
            outcome(arrival.account()).mArrived++;
            mLine.add(arrival, arrival.admittedMs() + mMaxWaitMs);
            start();
        }
        while (!mSlotEnds.isEmpty()) {
            advance(mSlotEnds.peek());
        }
        return mOutcomes;
    }

    private void advance(long untilMs) {
        while (!mSlotEnds.isEmpty() && mSlotEnds.peek() <= untilMs) {
            mNowMs = mSlotEnds.poll();
            start();
        }
        mNowMs = untilMs;
    }

    private void start() {
        for (Arrival late : mLine.removeExpired(mNowMs)) {
            outcome(late.account()).mRefused++;
        }
        while (mSlotEnds.size() < mSlots) {
            Optional<Arrival> next = mLine.poll();
            if (next.isEmpty()) {
                return;
            }
            Arrival arrival = next.get();
            Outcome outcome = outcome(arrival.account());
            outcome.mFirstTokenMs.recordValue(mNowMs - arrival.atMs());
            outcome.mServedTokens += arrival.tokens();
            long durationMs = (long) (arrival.tokens() * 1_000 / mTokensPerSecond);
            mSlotEnds.add(mNowMs + durationMs);
        }
    }

    private Outcome outcome(AccountId account) {
        return mOutcomes.computeIfAbsent(account, key -> new Outcome());
    }

    /**
     * Describes a request.
     *
     * @param atMs when it arrives
     * @param account whose it is
     * @param tokens how many tokens it takes
     * @param admittedMs when its tokens were granted
     */
    record Arrival(long atMs, AccountId account, long tokens, long admittedMs) {

        static Arrival of(long atMs, AccountId account, long tokens) {
            return new Arrival(atMs, account, tokens, atMs);
        }

        Arrival admittedAt(long newAdmittedMs) {
            return new Arrival(atMs, account, tokens, newAdmittedMs);
        }
    }

    /** Orders the waiting requests. */
    interface WaitingLine {

        /** Adds a request that must start by the deadline. */
        void add(Arrival arrival, long deadlineMs);

        /** Removes and returns the next request. */
        Optional<Arrival> poll();

        /** Removes the requests whose deadline has passed. */
        List<Arrival> removeExpired(long nowMs);
    }

    /** Counts what became of an account's requests. */
    static final class Outcome {

        private final Histogram mFirstTokenMs = new Histogram(3_600_000, 3);
        private long mArrived;
        private long mRefused;
        private long mServedTokens;

        long arrived() {
            return mArrived;
        }

        long refused() {
            return mRefused;
        }

        long servedTokens() {
            return mServedTokens;
        }

        long firstTokenMs(double percentile) {
            return mFirstTokenMs.getValueAtPercentile(percentile);
        }
    }

    /** Serves in the order of arrival; the baseline. */
    static final class FirstComeFirstServed implements WaitingLine {

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
            List<Arrival> late = new ArrayList<>();
            mWaiting.removeIf(arrival -> mDeadlines.get(arrival) <= nowMs && late.add(arrival));
            return late;
        }
    }
}
