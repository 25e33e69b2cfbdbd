package org.filbertrudder.policy.tokens;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Contract;
import org.filbertrudder.model.message.AccountShareSnapshot;

/**
 * Token bucket of one holder's share of a client account's contract.
 *
 * <p>Loans move part of the rate and of the capacity between holders for a limited time. The lender
 * reduces its bucket before the borrower's grows, and restores it only after the borrower's term
 * has ended, so that all shares together never exceed the contract.
 *
 * <p>A reservation is charged in full at once. Settling it refunds unused tokens only up to the
 * level that the bucket would have if it had been charged the used amount from the start.
 */
final class TokenBucket {

    private final List<Loan> mLoans = new ArrayList<>();
    private final Map<Long, Reservation> mReservations = new HashMap<>();
    private final HeadroomHistory mHistory = new HeadroomHistory();
    private Contract mBaseContract;
    private double mLevel;
    private long mUpdatedMs;
    private long mNextReservationId = 1;

    /** Creates an empty bucket that starts to fill at the given time. */
    TokenBucket(Contract baseContract, long startMs) {
        mBaseContract = baseContract;
        mUpdatedMs = startMs;
    }

    /** Replaces the contract, which does not include loans; does not raise the level. */
    void setBaseContract(Contract baseContract, long nowMs) {
        advance(nowMs);
        mBaseContract = baseContract;
        mLevel = Math.min(mLevel, capacity());
    }

    /** Restores the level and the lent amount that the previous holder handed over. */
    void restore(AccountShareSnapshot snapshot, long nowMs) {
        mUpdatedMs = nowMs;
        if (snapshot.lentForMs() > 0) {
            long untilMs = nowMs + snapshot.lentForMs();
            mLoans.add(new Loan(-snapshot.lentRatePerSecond(), -snapshot.lentTokens(), untilMs));
        }
        mLevel = Math.max(0, Math.min(snapshot.level(), capacity()));
    }

    /** Returns the level and the sum of the lent amounts, for the next holder. */
    AccountShareSnapshot toSnapshot(AccountId account, long nowMs) {
        advance(nowMs);
        double rate = 0;
        double tokens = 0;
        long untilMs = nowMs;
        for (Loan loan : mLoans) {
            if (loan.isLent()) {
                rate -= loan.ratePerSecond();
                tokens -= loan.tokens();
                untilMs = Math.max(untilMs, loan.untilMs());
            }
        }
        return new AccountShareSnapshot(account, mLevel, rate, tokens, untilMs - nowMs);
    }

    double level(long nowMs) {
        advance(nowMs);
        return mLevel;
    }

    double capacity() {
        double capacity = mBaseContract.burst();
        for (Loan loan : mLoans) {
            capacity += loan.tokens();
        }
        return Math.max(0, capacity);
    }

    double ratePerSecond() {
        double rate = mBaseContract.ratePerSecond();
        for (Loan loan : mLoans) {
            rate += loan.ratePerSecond();
        }
        return Math.max(0, rate);
    }

    int outstandingReservations() {
        return mReservations.size();
    }

    /** Takes the tokens and returns the reservation's id; returns 0 if the level is too low. */
    long tryReserve(long tokens, long expiresMs, long nowMs) {
        advance(nowMs);
        if (tokens > mLevel) {
            return 0;
        }
        long id = mNextReservationId++;
        mReservations.put(id, new Reservation(mHistory.record(headroom()), tokens, expiresMs));
        mLevel -= tokens;
        return id;
    }

    /** Ends a reservation and refunds its unused tokens as far as the contract allows. */
    void settle(long reservation, long unusedTokens, long nowMs) {
        advance(nowMs);
        Reservation ended = mReservations.remove(reservation);
        if (ended == null) {
            return;
        }
        mHistory.record(headroom());
        double unused = Math.min(unusedTokens, ended.tokens());
        double refund = Math.max(0, Math.min(unused, mHistory.minimumAfter(ended.sequence())));
        mLevel += refund;
        mHistory.reduceAfter(ended.sequence(), refund);
        if (mReservations.isEmpty()) {
            mHistory.clear();
        }
    }

    /** Removes a lent rate and lent tokens from the bucket until the given time. */
    void lend(double ratePerSecond, double tokens, long untilMs, long nowMs) {
        advance(nowMs);
        mLevel -= tokens;
        mLoans.add(new Loan(-ratePerSecond, -tokens, untilMs));
    }

    /** Adds a borrowed rate and borrowed tokens until the given time. */
    void borrow(double ratePerSecond, double tokens, long untilMs, long nowMs) {
        advance(nowMs);
        if (untilMs <= nowMs) {
            return;
        }
        mLoans.add(new Loan(ratePerSecond, tokens, untilMs));
        mLevel += tokens;
    }

    private double headroom() {
        return capacity() - mLevel;
    }

    private void advance(long nowMs) {
        while (mUpdatedMs < nowMs) {
            long untilMs = Math.min(nowMs, nextLoanEndMs());
            refill(untilMs);
            endLoans();
        }
        if (!mReservations.isEmpty()) {
            expireReservations(nowMs);
        }
    }

    private void refill(long untilMs) {
        double refilledTokens = ratePerSecond() * (untilMs - mUpdatedMs) / 1000.0;
        mLevel = Math.min(capacity(), mLevel + refilledTokens);
        mUpdatedMs = untilMs;
        if (!mReservations.isEmpty()) {
            mHistory.record(headroom());
        }
    }

    private long nextLoanEndMs() {
        long next = Long.MAX_VALUE;
        for (Loan loan : mLoans) {
            next = Math.min(next, loan.untilMs());
        }
        return next;
    }

    private void endLoans() {
        if (mLoans.removeIf(loan -> loan.untilMs() <= mUpdatedMs)) {
            mLevel = Math.min(mLevel, capacity());
        }
    }

    private void expireReservations(long nowMs) {
        Iterator<Reservation> reservations = mReservations.values().iterator();
        while (reservations.hasNext()) {
            if (reservations.next().expiresMs() <= nowMs) {
                reservations.remove();
            }
        }
    }

    /** Tokens charged for a request that has not ended. */
    private record Reservation(long sequence, long tokens, long expiresMs) {}

    /** Rate and capacity that are lent (negative) or borrowed (positive). */
    private record Loan(double ratePerSecond, double tokens, long untilMs) {

        boolean isLent() {
            return ratePerSecond < 0 || tokens < 0;
        }
    }
}
