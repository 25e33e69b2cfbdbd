package org.filbertrudder.policy.freshness;

/**
 * Computes when the instances of a failure domain refresh their copies of state in the store, so
 * that an instance that reaches the store learns of a change within a bound.
 *
 * <p>A relay reads the store, and the others request its copy. An instance whose copy is older than
 * a working relay's could be reads the store itself, and repeats the read while it has no answer.
 *
 * @param relayIntervalMs the interval at which a relay reads the store, in milliseconds
 * @param followerIntervalMs the interval at which the others request the copy of their relay, in
 *     milliseconds
 * @param retryMs the time after which a read that has no answer is repeated, in milliseconds
 */
public record RefreshSchedule(long relayIntervalMs, long followerIntervalMs, long retryMs) {

    /** The interval at which an instance checks what is due, in milliseconds. */
    public static final long TICK_MS = 100;

    /** The time of a call to a store in another region, in milliseconds. */
    private static final long CALL_MS = 300;

    /** The time until a change reaches the thread that sends requests, in milliseconds. */
    private static final long HANDOVER_MS = 100;

    /** The time for which a request is under way to its endpoint, in milliseconds. */
    private static final long SEND_MS = 100;

    /** The times of the schedule that do not depend on its intervals, in milliseconds. */
    private static final long FIXED_MS = 2 * (CALL_MS + TICK_MS) + HANDOVER_MS + SEND_MS;

    private static final RefreshSchedule UNBOUNDED = new RefreshSchedule(1_200, 900, 500);

    /** Returns the schedule for changes that must be in force within a bound, in milliseconds. */
    public static RefreshSchedule forBound(long boundMs) {
        double share = (double) (boundMs - FIXED_MS) / (UNBOUNDED.worstCaseMs() - FIXED_MS);
        return share >= 1 ? UNBOUNDED : UNBOUNDED.scaled(Math.max(share, 0));
    }

    private RefreshSchedule scaled(double share) {
        return new RefreshSchedule(
                scaled(relayIntervalMs, share),
                scaled(followerIntervalMs, share),
                scaled(retryMs, share));
    }

    private static long scaled(long ms, double share) {
        return Math.max(TICK_MS, (long) (ms * share));
    }

    /** Returns the age that a copy has at most while the relay works, in milliseconds. */
    public long relayTimeoutMs() {
        return relayIntervalMs + followerIntervalMs + CALL_MS;
    }

    /**
     * Returns the longest time between two lists of an instance while others reach the store, in
     * milliseconds: the relay falls silent, and one of the others reads the store.
     */
    public long longestGapMs() {
        return relayTimeoutMs() + TICK_MS + CALL_MS + TICK_MS;
    }

    /**
     * Returns the longest time from a change in the store to the arrival of the last request that
     * does not respect it, in milliseconds: the relay stops just after it has read the store, and
     * the first read of the instance itself gets no answer.
     */
    public long worstCaseMs() {
        return relayTimeoutMs() + TICK_MS + retryMs + TICK_MS + CALL_MS + HANDOVER_MS + SEND_MS;
    }
}
