package org.filbertrudder.policy.tokens;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.filbertrudder.policy.tokens.FaultyRegions.Faults;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Proves that no account gets more than its rate and burst over all regions together. */
public class TokenBoundTest {

    private static final int SCHEDULES = 100;
    private static final int PHASES = 25;
    private static final long DURATION_MS = 60_000;
    private static final double ROUNDING = 1e-3;

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {Faults.NONE},
            {new Faults(true, false, false, false)},
            {new Faults(false, true, false, false)},
            {new Faults(false, false, true, false)},
            {new Faults(false, false, false, true)},
            {new Faults(true, true, false, false)},
            {new Faults(true, false, true, false)},
            {new Faults(true, false, false, true)},
            {new Faults(false, true, true, false)},
            {new Faults(false, true, false, true)},
            {new Faults(false, false, true, true)},
            {Faults.ALL},
        };
    }

    @Test(dataProvider = "faults")
    public void neverExceedsTheContractWhateverFails(Faults faults) {
        for (long seed = 0; seed < SCHEDULES; seed++) {
            FaultyRegions regions = new FaultyRegions(seed, faults);

            regions.runPhases(PHASES, 300);

            double excess =
                    regions.meter()
                            .largestExcess(
                                    FaultyRegions.CONTRACT.ratePerSecond(),
                                    FaultyRegions.CONTRACT.burst());
            assertTrue(excess <= ROUNDING, "seed " + seed + ": exceeds by " + excess);
        }
    }

    @DataProvider
    public Object[][] splits() {
        return new Object[][] {
            {new double[] {0.95, 0, 0}},
            {new double[] {0.5, 0.45, 0}},
            {new double[] {0.32, 0.32, 0.31}},
            {new double[] {0.8, 0.1, 0.05}},
        };
    }

    @Test(dataProvider = "splits")
    public void refusesNothingInsideTheRateHoweverTheTrafficIsSplit(double[] split) {
        FaultyRegions regions = new FaultyRegions(1, Faults.NONE);
        // The shares start empty, so the burst is there only after a while.
        regions.run(8_000, new double[] {0, 0, 0}, 100);

        regions.run(DURATION_MS, split, 100);

        assertEquals(regions.refused(), 0);
        assertTrue(regions.granted() > 400, "granted " + regions.granted());
    }

    @Test
    public void withoutLoansRequestsInsideTheRateAreRefused() {
        FaultyRegions regions = new FaultyRegions(1, Faults.NONE);
        regions.disableLoans();
        regions.run(8_000, new double[] {0, 0, 0}, 100);

        regions.run(DURATION_MS, new double[] {0.95, 0, 0}, 100);

        assertTrue(regions.refused() > 0, "the baseline refuses nothing");
    }

    @Test
    public void givesACutOffRegionAtLeastItsOwnShare() {
        FaultyRegions regions = new FaultyRegions(3, new Faults(false, false, false, false));
        regions.cut(0);
        // Requests that run at the end hold tokens that they return later, so a steady state is
        // reached first.
        regions.run(DURATION_MS, new double[] {1.5, 0.3, 0.3}, 100);
        double before = regions.consumedIn(0);
        regions.run(DURATION_MS, new double[] {1.5, 0.3, 0.3}, 100);

        double consumed = regions.consumedIn(0) - before;
        double share = FaultyRegions.CONTRACT.ratePerSecond() / 3 * DURATION_MS / 1000;
        assertTrue(consumed >= 0.9 * share, "consumed " + consumed + " of " + share);
    }
}
