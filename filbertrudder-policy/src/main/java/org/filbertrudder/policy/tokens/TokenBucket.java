package org.filbertrudder.policy.tokens;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Contract;
import org.filbertrudder.model.message.HandedShare;

/**
 * Holds one region's share of a client account's contract.
 *
 * <p>Loans move part of the rate and of the capacity between regions for a limited time. The lender
 * gives its part up before the borrower gets it, and takes it back after the borrower's term has
 * ended, so that all shares together never exceed the contract.
 *
 * <p>A reservation is charged in full at once. Settling it returns the unused tokens only as far as
 * a bucket that had been charged the true amount from the start would hold them now.
 */
final class TokenBucket {

    private final List<Loan> mLoans = new ArrayList<>();
    private final Map<Long, Reservation> mReservations = new HashMap<>();
    private final HeadroomHistory mHistory = new HeadroomHistory();
    private Contract mBase;
    private double mLevel;
    private long mUpdatedMs;
    private long mNextReservation = 1;

    /** Creates an empty bucket that starts to fill at the given time. */
    TokenBucket(Contract base, long startMs) {
        mBase = base;
        mUpdatedMs = startMs;
    }

    /** Replaces the contract that the bucket starts from; the level never grows by it. */
    void setBase(Contract base, long nowMs) {
        advance(nowMs);
        mBase = base;
        mLevel = Math.min(mLevel, capacity());
    }

    /** Takes over the level and the loans of the previous holder. */
    void restore(HandedShare handed, long nowMs) {
        mUpdatedMs = nowMs;
        if (handed.lentForMs() > 0) {
            long untilMs = nowMs + handed.lentForMs();
            mLoans.add(new Loan(-handed.lentRatePerSecond(), -handed.lentTokens(), untilMs));
        }
        mLevel = Math.max(0, Math.min(handed.level(), capacity()));
    }

    /** Returns the level and the loans to other regions, for the next holder. */
    HandedShare hand(AccountId account, long nowMs) {
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
        return new HandedShare(account, mLevel, rate, tokens, untilMs - nowMs);
    }

    double level(long nowMs) {
        advance(nowMs);
        return mLevel;
    }

    double capacity() {
        double capacity = mBase.burst();
        for (Loan loan : mLoans) {
            capacity += loan.tokens();
        }
        return Math.max(0, capacity);
    }

    double ratePerSecond() {
        double rate = mBase.ratePerSecond();
        for (Loan loan : mLoans) {
            rate += loan.ratePerSecond();
        }
        return Math.max(0, rate);
    }

    int outstanding() {
        return mReservations.size();
    }

    /** Takes the tokens if the level allows; returns the reservation, or 0 if it does not. */
    long tryReserve(long tokens, long expiresMs, long nowMs) {
        advance(nowMs);
        if (tokens > mLevel) {
            return 0;
        }
        long id = mNextReservation++;
        mReservations.put(id, new Reservation(mHistory.record(headroom()), tokens, expiresMs));
        mLevel -= tokens;
        return id;
    }

    /** Ends a reservation and returns its unused tokens as far as the contract allows. */
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

    /** Gives up part of the rate and of the tokens until the given time. */
    void lend(double ratePerSecond, double tokens, long untilMs, long nowMs) {
        advance(nowMs);
        mLevel -= tokens;
        mLoans.add(new Loan(-ratePerSecond, -tokens, untilMs));
    }

    /** Adds a borrowed part of the rate and of the tokens until the given time. */
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
        double earned = ratePerSecond() * (untilMs - mUpdatedMs) / 1000.0;
        mLevel = Math.min(capacity(), mLevel + earned);
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
        Iterator<Reservation> each = mReservations.values().iterator();
        while (each.hasNext()) {
            if (each.next().expiresMs() <= nowMs) {
                each.remove();
            }
        }
    }

    /** Tokens charged for a request that has not ended. */
    private record Reservation(long sequence, long tokens, long expiresMs) {}

    /** Part of the rate and capacity that is lent (negative) or borrowed (positive). */
    private record Loan(double ratePerSecond, double tokens, long untilMs) {

        boolean isLent() {
            return ratePerSecond < 0 || tokens < 0;
        }
    }
}
