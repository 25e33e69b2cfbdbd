package org.filbertrudder.entry.traffic;

/**
 * Divides the grace period of a shutdown into phases.
 *
 * <p>New requests are accepted only at its beginning, while callers learn of the shutdown. No
 * request starts to run in its last part, as it could not finish. What still runs shortly before
 * the end is answered while there is time to deliver the answer.
 *
 * @param signalMs when the shutdown was asked for, on the clock of {@link TrafficContext}
 * @param graceMs the time until the process must have ended, in milliseconds
 */
public record ShutdownSchedule(long signalMs, long graceMs) {

    private static final long MAX_REDIRECT_PERIOD_MS = 1_500;
    private static final long MAX_DELIVERY_PERIOD_MS = 1_000;

    /** Returns until when new requests are accepted. */
    public long acceptUntilMs() {
        return signalMs + Math.min(MAX_REDIRECT_PERIOD_MS, graceMs / 4);
    }

    /** Returns from when on no request starts to run. */
    public long lastStartMs() {
        return signalMs + graceMs * 3 / 4;
    }

    /** Returns when the remaining requests are ended with a refusal or an error. */
    public long endRequestsMs() {
        return deadlineMs() - deliveryPeriodMs();
    }

    /** Returns how long the last answers may take to be delivered, in milliseconds. */
    public long deliveryPeriodMs() {
        return Math.min(MAX_DELIVERY_PERIOD_MS, graceMs / 8);
    }

    /** Returns when the process must have ended. */
    public long deadlineMs() {
        return signalMs + graceMs;
    }
}
