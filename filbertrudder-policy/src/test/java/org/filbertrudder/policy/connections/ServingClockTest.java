package org.filbertrudder.policy.connections;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Tests the time that is counted against callers. */
public class ServingClockTest {

    private static final long MAX_INTERVAL_MS = 200;

    @Test
    public void timeOfAHoldUpDoesNotCountBeforeAndAfterTheNextTick() {
        ServingClock clock = new ServingClock(MAX_INTERVAL_MS, 1_000);
        assertEquals(clock.timeMs(1_150), 1_150);

        assertEquals(clock.timeMs(9_000), 1_200);
        clock.tick(9_000);
        assertEquals(clock.timeMs(9_000), 1_200);
        assertEquals(clock.timeMs(9_100), 1_300);
    }

    @Test
    public void ticksInTimeCountInFull() {
        ServingClock clock = new ServingClock(MAX_INTERVAL_MS, 0);
        for (long nowMs = 0; nowMs <= 1_000; nowMs += 100) {
            clock.tick(nowMs);
        }
        assertEquals(clock.timeMs(1_000), 1_000);
    }
}
