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
 * @param haltMs when the process is halted even if its sockets are still open
 */
public record StopSchedule(
        long signalMs, long acceptUntilMs, long lastStartMs, long cutMs, long exitMs, long haltMs) {

    private static final long MAX_ACCEPT_MS = 2_500;

    /**
     * How long the JVM waits before it exits for threads in native code, such as one that writes to
     * an output which nobody reads, in milliseconds.
     */
    private static final long JVM_EXIT_MS = 300;

    /**
     * How long the last refusals, the notice to the other instances and the end of the threads take
     * after the drain, in milliseconds. The exit of the JVM takes longer while threads still run.
     */
    private static final long CLOSE_MS = 200;

    /** The time between the cut and the exit even if the grace period is short, in ms. */
    private static final long MIN_SEND_MS = 20;

    /** Returns the times for a signal and the grace period after it, in milliseconds. */
    public static StopSchedule of(long signalMs, long graceMs) {
        long cutMs = graceMs * 5 / 6;
        long haltMs = Math.max(0, graceMs * 23 / 24 - JVM_EXIT_MS);
        long exitMs = Math.min(graceMs * 11 / 12, haltMs - CLOSE_MS);
        return new StopSchedule(
                signalMs,
                signalMs + Math.min(MAX_ACCEPT_MS, graceMs / 2),
                signalMs + graceMs * 2 / 3,
                signalMs + cutMs,
                signalMs + Math.max(cutMs + MIN_SEND_MS, exitMs),
                signalMs + haltMs);
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
