package org.filbertrudder.gateway.control;

import java.util.concurrent.TimeUnit;
import org.filbertrudder.policy.freshness.ClockReading;

/** Reads the monotonic clock and the wall clock of the process. */
public final class Clocks {

    private Clocks() {}

    /** Returns the monotonic clock, in milliseconds. */
    public static long steadyMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Returns the monotonic time and the wall time, read one after the other. */
    public static ClockReading now() {
        return new ClockReading(steadyMs(), System.currentTimeMillis());
    }
}
