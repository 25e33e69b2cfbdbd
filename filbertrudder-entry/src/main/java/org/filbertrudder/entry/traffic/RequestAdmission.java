package org.filbertrudder.entry.traffic;

import java.util.function.LongSupplier;

/** Decides which requests may still be accepted and started while the instance shuts down. */
final class RequestAdmission {

    private final LongSupplier mClockMs;
    private ShutdownSchedule mSchedule;
    private boolean mClosed;

    RequestAdmission(LongSupplier clockMs) {
        mClockMs = clockMs;
    }

    void beginShutdown(ShutdownSchedule schedule) {
        mSchedule = schedule;
    }

    /** Starts no more requests, even if there is time left. */
    void close() {
        mClosed = true;
    }

    boolean isClosed() {
        return mClosed;
    }

    boolean isShuttingDown() {
        return mSchedule != null;
    }

    /** Returns whether a request may be accepted whose head arrived at the given time. */
    boolean accepts(long headReceivedMs) {
        return mSchedule == null || headReceivedMs < mSchedule.acceptUntilMs();
    }

    /** Returns whether a request that has not run yet may start now. */
    boolean mayStart() {
        boolean inTime = mSchedule == null || mClockMs.getAsLong() < mSchedule.lastStartMs();
        return inTime && !mClosed;
    }
}
