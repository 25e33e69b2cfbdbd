package org.filbertrudder.policy.tokens;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Contract;
import org.filbertrudder.model.message.HandedShare;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.ReserveOutcome;

/** Grants one region's share of one client account, first come first served. */
final class AccountShare {

    private static final double LEND_RESERVE_SECONDS = 0.5;
    private static final double DEMAND_MARGIN = 1.25;
    private static final double BORROW_MARGIN = 1.3;
    private static final double IDLE_SHARE = 0.001;
    private static final long RESERVATION_LIFETIME_MS = 600_000;

    private final TokenSettings mSettings;
    private final TokenBucket mBucket;
    private final DemandMeter mDemand;
    private final Deque<Waiter> mWaiters = new ArrayDeque<>();
    private Contract mWhole;
    private double mLargestRequest;
    private long mLoanPendingUntilMs;

    /** Creates an empty share that starts to fill at the given time. */
    AccountShare(Contract whole, double fraction, TokenSettings settings, long startMs) {
        mSettings = settings;
        mWhole = usable(whole);
        mBucket = new TokenBucket(mWhole.scale(fraction), startMs);
        mDemand = new DemandMeter(startMs);
    }

    void setContract(Contract whole, double fraction, long nowMs) {
        mWhole = usable(whole);
        mBucket.setBase(mWhole.scale(fraction), nowMs);
    }

    /** Keeps back what the rate earns while a granted reservation is still on its way. */
    private Contract usable(Contract whole) {
        double withheld = whole.ratePerSecond() * mSettings.grantValidityMs() / 1000.0;
        return Contract.of(whole.ratePerSecond(), whole.burst() - withheld);
    }

    /** Returns whether the account's contract is too small for a request of this size. */
    boolean neverFits(long tokens) {
        return tokens > mWhole.burst();
    }

    /** Grants, refuses or queues the request; a queued one is answered by a later call. */
    List<TokenEffect> reserve(Asker asker, long tokens, long deadlineMs, long nowMs) {
        mDemand.add(tokens, nowMs);
        mLargestRequest = Math.max(tokens, mLargestRequest);
        mWaiters.addLast(new Waiter(asker, tokens, nowMs, deadlineMs));
        return serve(nowMs);
    }

    /** Grants what the level allows and refuses what cannot be granted by its deadline. */
    List<TokenEffect> serve(long nowMs) {
        List<TokenEffect> effects = new ArrayList<>();
        refuseLate(effects, nowMs);
        while (!mWaiters.isEmpty() && grantFirst(effects, nowMs)) {
            mWaiters.removeFirst();
        }
        if (nowMs >= mLoanPendingUntilMs) {
            refuseHopeless(effects, nowMs);
        }
        return effects;
    }

    private boolean grantFirst(List<TokenEffect> effects, long nowMs) {
        Waiter first = mWaiters.peekFirst();
        long reservation =
                mBucket.tryReserve(first.tokens(), nowMs + RESERVATION_LIFETIME_MS, nowMs);
        if (reservation == 0) {
            return false;
        }
        effects.add(
                new TokenEffect.Reply(
                        first.asker(),
                        new PeerMessage.ReserveReply(
                                first.asker().requestId(),
                                ReserveOutcome.GRANTED,
                                reservation,
                                0,
                                nowMs - first.sinceMs())));
        return true;
    }

    private void refuseLate(List<TokenEffect> effects, long nowMs) {
        Iterator<Waiter> each = mWaiters.iterator();
        while (each.hasNext()) {
            Waiter waiter = each.next();
            if (waiter.deadlineMs() < nowMs) {
                each.remove();
                long waitMs = Math.max(1, waitMs(waiter.tokens(), nowMs));
                effects.add(refusal(waiter.asker(), ReserveOutcome.WAIT, waitMs));
            }
        }
    }

    private void refuseHopeless(List<TokenEffect> effects, long nowMs) {
        double ahead = 0;
        List<Waiter> hopeless = new ArrayList<>();
        for (Waiter waiter : mWaiters) {
            long waitMs = waitMs(ahead + waiter.tokens(), nowMs);
            boolean neverFits = waiter.tokens() > mBucket.capacity();
            if (neverFits || nowMs + waitMs > waiter.deadlineMs()) {
                hopeless.add(waiter);
                effects.add(refusal(waiter.asker(), ReserveOutcome.WAIT, Math.max(1, waitMs)));
            } else {
                ahead += waiter.tokens();
            }
        }
        mWaiters.removeAll(hopeless);
    }

    private long waitMs(double tokens, long nowMs) {
        double missing = tokens - mBucket.level(nowMs);
        if (missing <= 0) {
            return 0;
        }
        double rate = Math.max(mBucket.ratePerSecond(), mWhole.ratePerSecond() / 100);
        return (long) Math.ceil(missing * 1000 / rate);
    }

    void settle(long reservation, long unusedTokens, long nowMs) {
        mBucket.settle(reservation, unusedTokens, nowMs);
    }

    /** Returns whether the share is too small for the present demand. */
    boolean wantsLoan(long nowMs) {
        if (nowMs < mLoanPendingUntilMs || !mayBorrow()) {
            return false;
        }
        boolean waiting = !mWaiters.isEmpty();
        boolean outgrown = mDemand.ratePerSecond(nowMs) > mBucket.ratePerSecond();
        boolean low = mBucket.level(nowMs) < mLargestRequest;
        return waiting || (outgrown && low);
    }

    private boolean mayBorrow() {
        return mBucket.ratePerSecond() < mWhole.ratePerSecond() * 0.999
                || mBucket.capacity() < mWhole.burst() * 0.999;
    }

    /** Returns the loan that would cover the present demand; marks it as asked for. */
    LoanNeed askLoan(long nowMs) {
        mLoanPendingUntilMs = nowMs + mSettings.loanReplyTimeoutMs();
        double queued = mWaiters.stream().mapToDouble(Waiter::tokens).sum();
        double wantedRate =
                Math.min(mWhole.ratePerSecond(), mDemand.ratePerSecond(nowMs) * BORROW_MARGIN);
        double rate = Math.max(0, wantedRate - mBucket.ratePerSecond());
        double capacity = Math.max(0, mLargestRequest - mBucket.capacity());
        double tokens = Math.max(capacity, queued - mBucket.level(nowMs));
        return new LoanNeed(rate, Math.max(0, tokens));
    }

    /** Lends what this region does not need itself. */
    LoanNeed lend(LoanNeed asked, long nowMs) {
        double demand = mDemand.ratePerSecond(nowMs) * DEMAND_MARGIN;
        double spareRate = Math.max(0, mBucket.ratePerSecond() - demand);
        double level = mBucket.level(nowMs);
        double spareTokens = mWaiters.isEmpty() ? level - demand * LEND_RESERVE_SECONDS : 0;
        double rate = Math.min(asked.ratePerSecond(), spareRate);
        double tokens = Math.max(0, Math.min(asked.tokens(), spareTokens));
        if (rate > 0 || tokens > 0) {
            mBucket.lend(rate, tokens, nowMs + mSettings.lenderTermMs(), nowMs);
        }
        return new LoanNeed(rate, tokens);
    }

    /** Adds a loan that was asked for at the given time. */
    void borrow(LoanNeed granted, long askedMs, long nowMs) {
        mBucket.borrow(
                granted.ratePerSecond(), granted.tokens(), askedMs + mSettings.loanTermMs(), nowMs);
    }

    /** Ends the wait for lenders once all of them have answered. */
    void loansAnswered(long nowMs) {
        mLoanPendingUntilMs = nowMs;
    }

    /** Forgets every waiting request and answers it with the outcome. */
    List<TokenEffect> dismissWaiters(ReserveOutcome outcome) {
        List<TokenEffect> effects = new ArrayList<>();
        mWaiters.forEach(waiter -> effects.add(refusal(waiter.asker(), outcome, 1)));
        mWaiters.clear();
        return effects;
    }

    double level(long nowMs) {
        return mBucket.level(nowMs);
    }

    HandedShare hand(AccountId account, long nowMs) {
        return mBucket.hand(account, nowMs);
    }

    void restore(HandedShare handed, long nowMs) {
        mBucket.restore(handed, nowMs);
    }

    /** Returns whether nothing waits and hardly anything has been asked for lately. */
    boolean idle(long nowMs) {
        return mWaiters.isEmpty()
                && mDemand.ratePerSecond(nowMs) < mWhole.ratePerSecond() * IDLE_SHARE;
    }

    boolean hasWaiters() {
        return !mWaiters.isEmpty();
    }

    int outstanding() {
        return mBucket.outstanding();
    }

    double ratePerSecond() {
        return mBucket.ratePerSecond();
    }

    private static TokenEffect refusal(Asker asker, ReserveOutcome outcome, long retryAfterMs) {
        return new TokenEffect.Reply(
                asker,
                new PeerMessage.ReserveReply(asker.requestId(), outcome, 0, retryAfterMs, 0));
    }

    private record Waiter(Asker asker, long tokens, long sinceMs, long deadlineMs) {}
}
