package org.filbertrudder.policy.freshness;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how long the confirmed state counts as fresh. */
public class StateFreshnessTest {

    private static final long MAX_AGE_MS = 4_500;
    private static final long MAX_CLOCK_GAP_MS = 250;

    private static ClockReading at(long steadyMs, long wallMs) {
        return new ClockReading(steadyMs, wallMs);
    }

    private static StateFreshness confirmedAt(ClockReading reading) {
        StateFreshness freshness = new StateFreshness(MAX_AGE_MS, MAX_CLOCK_GAP_MS);
        freshness.confirm(reading, reading);
        return freshness;
    }

    @Test
    public void isNotFreshBeforeTheFirstConfirmation() {
        assertFalse(new StateFreshness(MAX_AGE_MS, MAX_CLOCK_GAP_MS).isFresh(at(0, 0)));
    }

    /** Lists the time elapsed on both clocks since the request, and whether the state is fresh. */
    @DataProvider
    public Object[][] elapsedTimes() {
        return new Object[][] {
            {0, 0, true},
            {4_499, 4_499, true},
            {4_500, 4_500, false},
            {1_000, 1_200, true},
            // The process was suspended for two seconds.
            {1_000, 3_000, false},
            // The wall clock was set back.
            {1_000, -2_000, false},
        };
    }

    @Test(dataProvider = "elapsedTimes")
    public void isFreshForALimitedTimeOnBothClocks(
            long steadyElapsedMs, long wallElapsedMs, boolean fresh) {
        StateFreshness freshness = confirmedAt(at(10_000, 500_000));

        assertEquals(
                freshness.isFresh(at(10_000 + steadyElapsedMs, 500_000 + wallElapsedMs)), fresh);
    }

    @Test
    public void countsTheAgeFromTheRequestAndNotFromTheResponse() {
        StateFreshness freshness = new StateFreshness(MAX_AGE_MS, MAX_CLOCK_GAP_MS);
        freshness.confirm(at(0, 0), at(4_000, 4_000));

        assertEquals(freshness.ageMs(at(4_100, 4_100)), 4_100);
    }

    @Test
    public void ignoresAResponseToARequestSentBeforeASuspension() {
        StateFreshness freshness = new StateFreshness(MAX_AGE_MS, MAX_CLOCK_GAP_MS);
        freshness.confirm(at(0, 0), at(100, 6_000));

        assertFalse(freshness.isFresh(at(100, 6_000)));
    }

    @Test
    public void anOlderConfirmationDoesNotChangeTheAge() {
        StateFreshness freshness = confirmedAt(at(2_000, 2_000));
        freshness.confirm(at(1_000, 1_000), at(2_100, 2_100));

        assertEquals(freshness.ageMs(at(3_000, 3_000)), 1_000);
    }

    @Test
    public void isFreshAgainWhenConfirmedAfterAWallClockJump() {
        StateFreshness freshness = confirmedAt(at(2_000, 2_000));
        freshness.confirm(at(2_500, 90_000), at(2_600, 90_100));

        assertTrue(freshness.isFresh(at(2_700, 90_200)));
    }

    @Test
    public void reportsWhetherTheStateWasConfirmedSinceAGivenTime() {
        StateFreshness freshness = confirmedAt(at(2_000, 2_000));

        assertTrue(freshness.isConfirmedSince(at(1_999, 1_999), at(2_100, 2_100)));
        assertFalse(freshness.isConfirmedSince(at(2_001, 2_001), at(2_100, 2_100)));
    }
}
