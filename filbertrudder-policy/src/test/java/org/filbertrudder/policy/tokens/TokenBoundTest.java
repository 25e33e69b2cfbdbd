package org.filbertrudder.policy.tokens;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.filbertrudder.policy.tokens.FaultyRegionSimulation.Faults;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that all regions together never grant more than an account's rate and burst. */
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
    public void neverExceedsTheContractUnderFaults(Faults faults) {
        for (long seed = 0; seed < SCHEDULES; seed++) {
            FaultyRegionSimulation regions = new FaultyRegionSimulation(seed, faults);

            regions.runPhases(PHASES, 300);

            double excess =
                    regions.consumption()
                            .largestExcess(
                                    FaultyRegionSimulation.CONTRACT.ratePerSecond(),
                                    FaultyRegionSimulation.CONTRACT.burst());
            assertTrue(excess <= ROUNDING, "seed " + seed + ": exceeds the contract by " + excess);
        }
    }

    @DataProvider
    public Object[][] loadSplits() {
        return new Object[][] {
            {new double[] {0.95, 0, 0}},
            {new double[] {0.5, 0.45, 0}},
            {new double[] {0.32, 0.32, 0.31}},
            {new double[] {0.8, 0.1, 0.05}},
        };
    }

    @Test(dataProvider = "loadSplits")
    public void refusesNothingWithinTheRateForAnySplitOfTheLoad(double[] loadByRegion) {
        FaultyRegionSimulation regions = new FaultyRegionSimulation(1, Faults.NONE);
        // The shares start empty; the burst is available only after they have filled.
        regions.run(8_000, new double[] {0, 0, 0}, 100);

        regions.run(DURATION_MS, loadByRegion, 100);

        assertEquals(regions.refused(), 0);
        assertTrue(regions.granted() > 400, "granted requests: " + regions.granted());
    }

    @Test
    public void refusesRequestsWithinTheRateWithoutLoans() {
        FaultyRegionSimulation regions = new FaultyRegionSimulation(1, Faults.NONE);
        regions.disableLoans();
        regions.run(8_000, new double[] {0, 0, 0}, 100);

        regions.run(DURATION_MS, new double[] {0.95, 0, 0}, 100);

        assertTrue(regions.refused() > 0, "The baseline without loans must refuse some requests.");
    }

    @Test
    public void aPartitionedRegionGetsAtLeastItsOwnShare() {
        FaultyRegionSimulation regions =
                new FaultyRegionSimulation(3, new Faults(false, false, false, false));
        regions.partition(0);
        // Running requests refund tokens only when they end, so consumption is compared in the
        // steady state.
        regions.run(DURATION_MS, new double[] {1.5, 0.3, 0.3}, 100);
        double consumedBefore = regions.consumedIn(0);
        regions.run(DURATION_MS, new double[] {1.5, 0.3, 0.3}, 100);

        double consumed = regions.consumedIn(0) - consumedBefore;
        double share = FaultyRegionSimulation.CONTRACT.ratePerSecond() / 3 * DURATION_MS / 1000;
        assertTrue(
                consumed >= 0.9 * share, "consumed " + consumed + " tokens of a share of " + share);
    }
}
