package org.filbertrudder.gateway.control;

import java.util.concurrent.TimeUnit;
import org.filbertrudder.policy.freshness.Moment;

/** Reads the clocks of the process. */
public final class Clocks {

    private Clocks() {}

    /** Returns the steady clock, in milliseconds. */
    public static long steadyMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Reads both clocks. */
    public static Moment now() {
        return new Moment(steadyMs(), System.currentTimeMillis());
    }
}
