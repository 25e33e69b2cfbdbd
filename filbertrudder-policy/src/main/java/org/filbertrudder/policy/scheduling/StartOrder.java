package org.filbertrudder.policy.scheduling;

import java.util.HashMap;
import java.util.Map;
import org.filbertrudder.model.AccountId;

/**
 * Orders the requests of a service in a region by their arrival, rank and account.
 *
 * <p>A request is overtaken only by requests that arrive less than {@link #RANK_MS} x its rank plus
 * the lag of its account after it.
 */
final class StartOrder {

    /** The time by which a request of one rank is ordered after one of the rank above it, in ms. */
    static final double RANK_MS = 400;

    /** The lowest rank; greater numbers count as this one, which bounds the wait by rank. */
    static final int MAX_RANK = 5;

    /** The maximum lag of an account, in milliseconds. */
    static final double MAX_LAG_MS = 2_000;

    /** The time for which an account without waiting requests counts as active, in ms. */
    private static final long ACTIVE_MS = 2_000;

    /** The interval at which active accounts are counted, in ms; keeps frequent passes cheap. */
    private static final long COUNT_INTERVAL_MS = 20;

    private final Map<AccountId, AccountClock> mClocks = new HashMap<>();
    private int mActiveAccounts = 1;
    private long mCountedMs = Long.MIN_VALUE / 2;

    /** Returns the rank, limited to the ranks that the order distinguishes. */
    static int boundedRank(int rank) {
        return Math.max(0, Math.min(MAX_RANK, rank));
    }

    /** Returns the sort key of a request with a place and a rank. */
    static double keyMs(double placeMs, int rank) {
        return placeMs + RANK_MS * boundedRank(rank);
    }

    /** Records the arrival of a request and returns its place: arrival plus lag of the account. */
    double arrive(AccountId account, long arrivalMs, long nowMs) {
        AccountClock clock = mClocks.computeIfAbsent(account, id -> new AccountClock());
        clock.mWaiting++;
        return arrivalMs + clock.lagMs(nowMs);
    }

    /** Records that a request of the account no longer waits. */
    void leave(AccountId account) {
        AccountClock clock = mClocks.get(account);
        if (clock != null) {
            clock.mWaiting--;
        }
    }

    /**
     * Advances the clock of an account by a start.
     *
     * @param readingMs the reading time of the prompt at the speed of all engines together
     * @return the time by which the clock has advanced, in milliseconds
     */
    double charge(AccountId account, double readingMs, long nowMs) {
        AccountClock clock = mClocks.computeIfAbsent(account, id -> new AccountClock());
        double beforeMs = Math.max(nowMs, clock.mClockMs);
        // A clock far ahead would delay the account long after it has reduced its demand.
        clock.mClockMs = Math.min(nowMs + MAX_LAG_MS, beforeMs + readingMs * mActiveAccounts);
        clock.mServedMs = nowMs;
        return clock.mClockMs - beforeMs;
    }

    /** Returns the charge of a start that was not used. */
    void refund(AccountId account, double chargeMs) {
        AccountClock clock = mClocks.get(account);
        if (clock != null) {
            clock.mClockMs -= chargeMs;
        }
    }

    /** Counts the active accounts again and removes those without effect on the order. */
    void update(long nowMs) {
        if (nowMs - mCountedMs < COUNT_INTERVAL_MS) {
            return;
        }
        mCountedMs = nowMs;
        mClocks.values().removeIf(clock -> !clock.isActive(nowMs) && clock.lagMs(nowMs) <= 0);
        long active = mClocks.values().stream().filter(clock -> clock.isActive(nowMs)).count();
        mActiveAccounts = (int) Math.max(1, active);
    }

    /** Holds the service clock of an account. */
    private static final class AccountClock {

        private double mClockMs = Long.MIN_VALUE / 2;
        private long mServedMs = Long.MIN_VALUE / 2;
        private int mWaiting;

        double lagMs(long nowMs) {
            return Math.max(0, Math.min(MAX_LAG_MS, mClockMs - nowMs));
        }

        boolean isActive(long nowMs) {
            return mWaiting > 0 || nowMs - mServedMs <= ACTIVE_MS;
        }
    }
}
