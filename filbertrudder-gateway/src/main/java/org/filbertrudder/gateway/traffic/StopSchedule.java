package org.filbertrudder.gateway.traffic;

/**
 * Holds the times of a planned stop on the steady clock, in milliseconds. All of them count from
 * the signal, as the process may be killed when the grace period since then has passed.
 *
 * @param signalMs when the stop was requested
 * @param acceptUntilMs until when requests are accepted from callers who are unaware of the stop
 * @param lastStartMs until when a request may be sent to an endpoint or another instance
 * @param cutMs when the requests that are still open are ended
 * @param exitMs when the instance stops even if responses have not been sent completely
 */
record StopSchedule(long signalMs, long acceptUntilMs, long lastStartMs, long cutMs, long exitMs) {

    private static final long MAX_ACCEPT_MS = 2_500;

    static StopSchedule of(long signalMs, long graceMs) {
        return new StopSchedule(
                signalMs,
                signalMs + Math.min(MAX_ACCEPT_MS, graceMs / 2),
                signalMs + graceMs * 2 / 3,
                signalMs + graceMs * 5 / 6,
                signalMs + graceMs * 11 / 12);
    }

    /**
     * Returns whether a request may be sent now. One that may not be repeated must be expected to
     * end before the cut, as it cannot be sent elsewhere afterwards.
     *
     * @param expectedMs how long the request is expected to run, in milliseconds
     */
    boolean mayStart(long nowMs, boolean repeatable, long expectedMs) {
        return nowMs < lastStartMs && (repeatable || nowMs + expectedMs <= cutMs);
    }
}
