package org.filbertrudder.policy.freshness;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that the times of a schedule add up to less than its bound. */
public class RefreshScheduleTest {

    /** Lists bounds, in milliseconds. */
    @DataProvider
    public Object[][] bounds() {
        return new Object[][] {{6_000}, {5_000}, {4_000}, {3_000}, {2_000}, {1_500}};
    }

    @Test(dataProvider = "bounds")
    public void worstCaseIsWithinTheBound(long boundMs) {
        RefreshSchedule schedule = RefreshSchedule.forBound(boundMs);

        assertTrue(schedule.worstCaseMs() < boundMs + RefreshSchedule.TICK_MS, schedule + "");
        assertTrue(
                schedule.relayTimeoutMs()
                        > schedule.relayIntervalMs() + schedule.followerIntervalMs(),
                "a working relay is not taken for a silent one");
    }

    @Test
    public void longBoundsDoNotSlowTheReads() {
        assertEquals(RefreshSchedule.forBound(60_000), RefreshSchedule.forBound(4_000));
    }
}
