package org.filbertrudder.policy.freshness;

/**
 * Reads two clocks at once.
 *
 * <p>The steady clock never jumps but stands still while the process is suspended; the time of day
 * goes on but may be set. Together they reveal both.
 *
 * @param steadyMs the steady clock, in milliseconds
 * @param wallMs the time of day, in milliseconds since the epoch
 */
public record Moment(long steadyMs, long wallMs) {

    /** Returns how far the two clocks have drifted apart since the other moment. */
    long clockGapMs(Moment earlier) {
        return Math.abs((wallMs - earlier.wallMs) - (steadyMs - earlier.steadyMs));
    }
}
