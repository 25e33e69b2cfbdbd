package org.filbertrudder.gateway.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.OptionalLong;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the times of a planned stop and which requests may still be sent. */
public class StopScheduleTest {

    private static final long SIGNAL_MS = 1_000;
    private static final long GRACE_MS = 6_000;

    /** The longest time in which connections that wait are accepted at the end. */
    private static final long LISTENING_MS = 50;

    /** The shortest time in which their requests are refused. */
    private static final long LAST_REFUSALS_MS = 20;

    /** The time in which the other instances are told. */
    private static final long LEAVING_MS = 100;

    /**
     * Lists times since the signal, repeatability, expected run times and the expected decision.
     */
    @DataProvider
    public Object[][] starts() {
        return new Object[][] {
            {0, true, 60_000, true},
            {3_999, true, 60_000, true},
            {4_000, true, 1, false},
            {0, false, 5_000, true},
            {0, false, 5_001, false},
            {3_999, false, 1_001, true},
            {3_999, false, 1_002, false},
            {4_000, false, 0, false},
        };
    }

    @Test(dataProvider = "starts")
    public void sendsOnlyWhatIsExpectedToEndBeforeTheCut(
            long sinceSignalMs, boolean repeatable, long expectedMs, boolean expected) {
        StopSchedule schedule = StopSchedule.of(SIGNAL_MS, GRACE_MS);

        assertEquals(
                schedule.mayStart(SIGNAL_MS + sinceSignalMs, repeatable, expectedMs), expected);
    }

    /** Lists grace periods. */
    @DataProvider
    public Object[][] gracePeriods() {
        return new Object[][] {{1_000L}, {4_000L}, {8_000L}, {30_000L}};
    }

    @Test(dataProvider = "gracePeriods")
    public void cutsInTheLastSixthAndExitsBeforeTheKill(long graceMs) {
        StopSchedule schedule = StopSchedule.of(0, graceMs);

        assertTrue(schedule.acceptUntilMs() <= 3_000);
        assertTrue(schedule.acceptUntilMs() < schedule.lastStartMs());
        assertTrue(schedule.lastStartMs() < schedule.cutMs());
        assertEquals(schedule.cutMs(), graceMs * 5 / 6);
        assertTrue(schedule.cutMs() < schedule.exitMs());
        assertTrue(schedule.exitMs() < graceMs);
    }

    /** Lists grace periods that leave time after the cut. */
    @DataProvider
    public Object[][] usualGracePeriods() {
        return new Object[][] {{4_000L}, {5_000L}, {6_000L}, {8_000L}, {30_000L}};
    }

    /** Guards against a process that is halted while its sockets are open. */
    @Test(dataProvider = "usualGracePeriods")
    public void leavesTimeToCloseBeforeTheProcessIsHalted(long graceMs) {
        StopSchedule schedule = StopSchedule.of(SIGNAL_MS, graceMs);

        long haltMs = SIGNAL_MS + graceMs * 23 / 24 - 300;
        assertEquals(schedule.haltMs(), haltMs);
        assertTrue(
                schedule.exitMs() + LISTENING_MS + LAST_REFUSALS_MS + LEAVING_MS <= haltMs,
                schedule.toString());
    }

    @Test
    public void longRunIsForgottenSlowly() {
        RunTimes times = new RunTimes();
        assertEquals(times.longestMs("r"), OptionalLong.empty());

        times.record("r", 100);
        times.record("r", 2_100);
        times.record("r", 100);

        assertEquals(times.longestMs("r"), OptionalLong.of(2_000));
    }
}
