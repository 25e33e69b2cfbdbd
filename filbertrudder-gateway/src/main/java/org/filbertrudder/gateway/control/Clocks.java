package org.filbertrudder.gateway.control;

import java.util.concurrent.TimeUnit;
import org.filbertrudder.policy.freshness.ClockReading;

/** Reads the steady (monotonic) clock and the wall clock of the process. */
public final class Clocks {

    private Clocks() {}

    /** Returns the steady clock, in milliseconds. */
    public static long steadyMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Returns the steady clock and the wall clock, read one after the other. */
    public static ClockReading now() {
        return new ClockReading(steadyMs(), System.currentTimeMillis());
    }
}
