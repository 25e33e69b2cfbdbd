package org.filbertrudder.policy.connections;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/**
 * Tests on seeded schedules that sound callers get their answers and that nothing else is open for
 * longer than its limit.
 */
public class ConnectionScheduleTest {

    private static final int SCHEDULES = 3_000;

    @Test
    public void wholeRequestsAreAnsweredAndHoardersAreEnded() {
        int answered = 0;
        int ended = 0;
        for (int seed = 0; seed < SCHEDULES; seed++) {
            SimulatedCallers callers = new SimulatedCallers(new Random(seed));
            assertEquals(callers.run(), List.of(), "seed " + seed);
            answered += callers.answered();
            ended += callers.ended();
        }
        assertTrue(answered > SCHEDULES, answered + " answers");
        assertTrue(ended > SCHEDULES, ended + " ended");
    }
}
