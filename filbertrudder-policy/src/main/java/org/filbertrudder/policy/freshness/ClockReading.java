package org.filbertrudder.policy.freshness;

/**
 * Holds simultaneous readings of the steady clock and the wall clock.
 *
 * <p>The steady clock never jumps, but may stop while the process is suspended. The wall clock
 * continues, but may be set. Comparing the two detects a suspension as well as a clock change.
 *
 * @param steadyMs the steady clock, in milliseconds
 * @param wallMs the wall clock, in milliseconds since the epoch
 */
public record ClockReading(long steadyMs, long wallMs) {

    /** Returns how much the elapsed times of the two clocks since a reading differ, in ms. */
    long clockGapMs(ClockReading earlier) {
        return Math.abs((wallMs - earlier.wallMs) - (steadyMs - earlier.steadyMs));
    }
}
