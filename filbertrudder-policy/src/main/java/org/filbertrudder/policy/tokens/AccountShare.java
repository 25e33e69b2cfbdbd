package org.filbertrudder.policy.tokens;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Contract;
import org.filbertrudder.model.message.AccountShareSnapshot;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.ReserveOutcome;

/**
 * Grants one holder's share of a client account's contract, in the order of the requests.
 *
 * <p>A request that the bucket cannot cover waits in a queue until the bucket fills, a loan arrives
 * or its deadline passes.
 */
final class AccountShare {

    /** Seconds of the share's own demand whose tokens are not lent. */
    private static final double LENDING_RESERVE_S = 0.5;

    /** A lender keeps the rate of its own demand times this factor. */
    private static final double LENDER_DEMAND_FACTOR = 1.25;

    /** A borrower requests the rate of its demand times this factor. */
    private static final double BORROWER_DEMAND_FACTOR = 1.3;

    /** Fraction of the contract's rate below which the demand counts as idle. */
    private static final double IDLE_RATE_FRACTION = 0.001;

    private static final long RESERVATION_LIFETIME_MS = 600_000;

    private final TokenSettings mSettings;
    private final TokenBucket mBucket;
    private final DemandMeter mDemand;
    private final Deque<QueuedRequest> mQueue = new ArrayDeque<>();
    private Contract mContract;
    private double mLargestRequest;
    private long mLoanWaitUntilMs;

    /** Creates an empty share that starts to fill at the given time. */
    AccountShare(Contract contract, double fraction, TokenSettings settings, long startMs) {
        mSettings = settings;
        mContract = reduceBurst(contract);
        mBucket = new TokenBucket(mContract.scale(fraction), startMs);
        mDemand = new DemandMeter(startMs);
    }

    void setContract(Contract contract, double fraction, long nowMs) {
        mContract = reduceBurst(contract);
        mBucket.setBaseContract(mContract.scale(fraction), nowMs);
    }

    /** Reduces the burst by the tokens that accrue while a granted reservation is in transit. */
    private Contract reduceBurst(Contract contract) {
        double reservedTokens = contract.ratePerSecond() * mSettings.grantValidityMs() / 1000.0;
        return Contract.of(contract.ratePerSecond(), contract.burst() - reservedTokens);
    }

    /** Returns whether a request is larger than the burst of the account's whole contract. */
    boolean exceedsBurst(long tokens) {
        return tokens > mContract.burst();
    }

    /**
     * Grants, refuses or queues the request; a later call returns the reply to a queued request.
     */
    List<TokenEffect> reserve(
            TokenRequestKey requestKey, long tokens, long deadlineMs, long nowMs) {
        mDemand.add(tokens, nowMs);
        mLargestRequest = Math.max(tokens, mLargestRequest);
        mQueue.addLast(new QueuedRequest(requestKey, tokens, nowMs, deadlineMs));
        return processQueue(nowMs);
    }

    /**
     * Grants queued requests in order and refuses those that cannot be granted by their deadline.
     */
    List<TokenEffect> processQueue(long nowMs) {
        List<TokenEffect> effects = new ArrayList<>();
        refuseExpired(effects, nowMs);
        while (!mQueue.isEmpty() && tryGrantFirst(effects, nowMs)) {
            mQueue.removeFirst();
        }
        if (nowMs >= mLoanWaitUntilMs) {
            refuseUnsatisfiable(effects, nowMs);
        }
        return effects;
    }

    private boolean tryGrantFirst(List<TokenEffect> effects, long nowMs) {
        QueuedRequest first = mQueue.peekFirst();
        long reservation =
                mBucket.tryReserve(first.tokens(), nowMs + RESERVATION_LIFETIME_MS, nowMs);
        if (reservation == 0) {
            return false;
        }
        effects.add(
                new TokenEffect.Reply(
                        first.requestKey(),
                        new PeerMessage.ReserveReply(
                                first.requestKey().requestId(),
                                ReserveOutcome.GRANTED,
                                reservation,
                                0,
                                nowMs - first.receivedMs())));
        return true;
    }

    private void refuseExpired(List<TokenEffect> effects, long nowMs) {
        Iterator<QueuedRequest> requests = mQueue.iterator();
        while (requests.hasNext()) {
            QueuedRequest request = requests.next();
            if (request.deadlineMs() < nowMs) {
                requests.remove();
                long waitMs = Math.max(1, refillTimeMs(request.tokens(), nowMs));
                effects.add(refusal(request.requestKey(), ReserveOutcome.WAIT, waitMs));
            }
        }
    }

    private void refuseUnsatisfiable(List<TokenEffect> effects, long nowMs) {
        double tokensAhead = 0;
        List<QueuedRequest> unsatisfiable = new ArrayList<>();
        for (QueuedRequest request : mQueue) {
            long waitMs = refillTimeMs(tokensAhead + request.tokens(), nowMs);
            boolean exceedsCapacity = request.tokens() > mBucket.capacity();
            if (exceedsCapacity || nowMs + waitMs > request.deadlineMs()) {
                unsatisfiable.add(request);
                effects.add(
                        refusal(request.requestKey(), ReserveOutcome.WAIT, Math.max(1, waitMs)));
            } else {
                tokensAhead += request.tokens();
            }
        }
        mQueue.removeAll(unsatisfiable);
    }

    private long refillTimeMs(double tokens, long nowMs) {
        double missingTokens = tokens - mBucket.level(nowMs);
        if (missingTokens <= 0) {
            return 0;
        }
        double rate = Math.max(mBucket.ratePerSecond(), mContract.ratePerSecond() / 100);
        return (long) Math.ceil(missingTokens * 1000 / rate);
    }

    void settle(long reservation, long unusedTokens, long nowMs) {
        mBucket.settle(reservation, unusedTokens, nowMs);
    }

    /** Returns whether the present demand exceeds the share and a loan may be requested now. */
    boolean needsLoan(long nowMs) {
        if (nowMs < mLoanWaitUntilMs || !isBelowContract()) {
            return false;
        }
        boolean queued = !mQueue.isEmpty();
        boolean demandExceedsRate = mDemand.ratePerSecond(nowMs) > mBucket.ratePerSecond();
        boolean levelBelowLargest = mBucket.level(nowMs) < mLargestRequest;
        return queued || (demandExceedsRate && levelBelowLargest);
    }

    private boolean isBelowContract() {
        return mBucket.ratePerSecond() < mContract.ratePerSecond() * 0.999
                || mBucket.capacity() < mContract.burst() * 0.999;
    }

    /** Returns the loan that covers the present demand and starts to wait for the lenders. */
    LoanAmount requestLoan(long nowMs) {
        mLoanWaitUntilMs = nowMs + mSettings.loanReplyTimeoutMs();
        double queuedTokens = mQueue.stream().mapToDouble(QueuedRequest::tokens).sum();
        double targetRate =
                Math.min(
                        mContract.ratePerSecond(),
                        mDemand.ratePerSecond(nowMs) * BORROWER_DEMAND_FACTOR);
        double rate = Math.max(0, targetRate - mBucket.ratePerSecond());
        double missingCapacity = Math.max(0, mLargestRequest - mBucket.capacity());
        double tokens = Math.max(missingCapacity, queuedTokens - mBucket.level(nowMs));
        return new LoanAmount(rate, Math.max(0, tokens));
    }

    /** Lends up to the requested amount from what exceeds the share's own demand. */
    LoanAmount lend(LoanAmount requested, long nowMs) {
        double demand = mDemand.ratePerSecond(nowMs) * LENDER_DEMAND_FACTOR;
        double spareRate = Math.max(0, mBucket.ratePerSecond() - demand);
        double level = mBucket.level(nowMs);
        double spareTokens = mQueue.isEmpty() ? level - demand * LENDING_RESERVE_S : 0;
        double rate = Math.min(requested.ratePerSecond(), spareRate);
        double tokens = Math.max(0, Math.min(requested.tokens(), spareTokens));
        if (rate > 0 || tokens > 0) {
            mBucket.lend(rate, tokens, nowMs + mSettings.lenderTermMs(), nowMs);
        }
        return new LoanAmount(rate, tokens);
    }

    /** Adds a loan whose term starts at the time of its request. */
    void borrow(LoanAmount granted, long requestedMs, long nowMs) {
        mBucket.borrow(
                granted.ratePerSecond(),
                granted.tokens(),
                requestedMs + mSettings.loanTermMs(),
                nowMs);
    }

    /** Stops waiting for lenders, as all of them have replied. */
    void endLoanWait(long nowMs) {
        mLoanWaitUntilMs = nowMs;
    }

    /** Removes all queued requests and replies to each with the outcome. */
    List<TokenEffect> refuseQueuedRequests(ReserveOutcome outcome) {
        List<TokenEffect> effects = new ArrayList<>();
        mQueue.forEach(request -> effects.add(refusal(request.requestKey(), outcome, 1)));
        mQueue.clear();
        return effects;
    }

    double level(long nowMs) {
        return mBucket.level(nowMs);
    }

    AccountShareSnapshot toSnapshot(AccountId account, long nowMs) {
        return mBucket.toSnapshot(account, nowMs);
    }

    void restore(AccountShareSnapshot snapshot, long nowMs) {
        mBucket.restore(snapshot, nowMs);
    }

    /** Returns whether no request is queued and the recent demand is close to zero. */
    boolean isIdle(long nowMs) {
        return mQueue.isEmpty()
                && mDemand.ratePerSecond(nowMs) < mContract.ratePerSecond() * IDLE_RATE_FRACTION;
    }

    boolean hasQueuedRequests() {
        return !mQueue.isEmpty();
    }

    int outstandingReservations() {
        return mBucket.outstandingReservations();
    }

    double ratePerSecond() {
        return mBucket.ratePerSecond();
    }

    private static TokenEffect refusal(
            TokenRequestKey requestKey, ReserveOutcome outcome, long retryAfterMs) {
        return new TokenEffect.Reply(
                requestKey,
                new PeerMessage.ReserveReply(requestKey.requestId(), outcome, 0, retryAfterMs, 0));
    }

    private record QueuedRequest(
            TokenRequestKey requestKey, long tokens, long receivedMs, long deadlineMs) {}
}
