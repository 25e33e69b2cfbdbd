package org.filbertrudder.policy.crashes;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.filbertrudder.policy.crashes.CrashingFleetSimulation.Result;
import org.filbertrudder.policy.crashes.CrashingFleetSimulation.Scenario;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests on seeded schedules that few requests with a crashing part reach endpoints. */
public class CrashingPartBoundTest {

    private static final long DURATION_MS = 37_000;

    /** The bound of the platform's rule BUDGET. */
    private static final int ALLOWED_SENDS = 3;

    private static final int SEEDS = 25;

    /** Lists scenarios with seeds; large fleets run with fewer seeds. */
    @DataProvider
    public static Object[][] schedules() {
        List<Object[]> schedules = new ArrayList<>();
        for (int instances : new int[] {2, 6, 30}) {
            for (int seed = 1; seed <= SEEDS; seed++) {
                boolean otherCrashes = seed % 2 == 0;
                boolean faults = seed % 3 != 0;
                double share = seed % 5 == 0 ? 0.4 : 0.05;
                schedules.add(
                        new Object[] {
                            new Scenario(instances, 1 + seed % 2, share, otherCrashes, faults),
                            (long) seed
                        });
            }
        }
        schedules.add(new Object[] {new Scenario(95, 1, 0.05, true, true), 1L});
        schedules.add(new Object[] {new Scenario(95, 2, 0.01, true, true), 2L});
        return schedules.toArray(new Object[0][]);
    }

    @Test(dataProvider = "schedules")
    public void instancesGoOnSendingAPartThatHasCrashedFiveEndpoints(Scenario scenario, long seed) {
        Result result = new CrashingFleetSimulation(scenario, seed).run(DURATION_MS);

        assertTrue(result.lateSends() <= ALLOWED_SENDS, result.toString());
        assertTrue(
                result.soundRefused() * 2 < result.soundSent(),
                "sound requests are refused: " + result);
    }

    @Test
    public void noSoundPartIsBlockedIfNothingElseCrashes() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Result result =
                    new CrashingFleetSimulation(new Scenario(6, 1, 0.05, false, false), seed)
                            .run(DURATION_MS);

            assertEquals(result.soundBlocked(), Set.of(), "seed " + seed + " " + result);
        }
    }

    /** Prints the results for fleets of the given sizes, by default those of docs/PROOFS.md. */
    public static void main(String[] sizes) {
        for (String size : sizes.length == 0 ? new String[] {"6", "95", "1800"} : sizes) {
            for (double share : new double[] {0.01, 0.05, 0.3}) {
                for (boolean disturbed : new boolean[] {false, true}) {
                    print(new Scenario(Integer.parseInt(size), 1, share, disturbed, disturbed));
                }
            }
        }
    }

    private static void print(Scenario scenario) {
        int seeds = scenario.instances() > 1_000 ? 1 : 10;
        for (long seed = 1; seed <= seeds; seed++) {
            System.out.println(
                    scenario
                            + " seed "
                            + seed
                            + " "
                            + new CrashingFleetSimulation(scenario, seed).run(DURATION_MS));
        }
    }
}
