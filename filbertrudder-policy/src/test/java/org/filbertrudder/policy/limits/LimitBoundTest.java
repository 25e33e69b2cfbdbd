package org.filbertrudder.policy.limits;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests on seeded schedules that the instances of a region together never exceed the limit of an
 * endpoint by more than the platform allows, and that they use it.
 */
public class LimitBoundTest {

    private static final int SCHEDULES = 60;
    private static final long DURATION_MS = 40_000;
    private static final long WINDOW_MS = 4_000;
    private static final double ALLOWED_FACTOR = 1.5;
    private static final int ALLOWED_EXTRA = 5;
    private static final double[] LIMITS = {0, 0.5, 1, 1.2, 4, 30, 200};
    private static final int[] FLEET_SIZES = {1, 2, 3, 8, 32, 95};

    /** Lists the faults of a schedule. */
    private enum Fault {
        NONE,
        BURSTS,
        LOST_MESSAGES,
        DEATHS,
        RESTARTS,
        CUTS,
        ALL
    }

    /** Lists all kinds of faults. */
    @DataProvider
    public Object[][] faults() {
        List<Object[]> rows = new ArrayList<>();
        for (Fault fault : Fault.values()) {
            rows.add(new Object[] {fault});
        }
        return rows.toArray(new Object[0][]);
    }

    @Test(dataProvider = "faults")
    public void allInstancesTogetherStayWithinTheLimit(Fault fault) {
        for (int seed = 0; seed < SCHEDULES; seed++) {
            double perSecond = LIMITS[seed % LIMITS.length];
            int size = FLEET_SIZES[seed % FLEET_SIZES.length];
            List<Long> arrivalsMs = simulate(fault, seed, size, perSecond);
            double allowed = ALLOWED_FACTOR * perSecond * WINDOW_MS / 1_000 + ALLOWED_EXTRA;
            int most = maxWithinWindow(arrivalsMs);
            assertTrue(
                    most <= allowed,
                    "seed %d, %d instances, %s a second: %d in 4 s, allowed %s"
                            .formatted(seed, size, perSecond, most, allowed));
        }
    }

    @Test
    public void theLimitIsUsedWithoutFaults() {
        for (int seed = 0; seed < SCHEDULES; seed++) {
            double perSecond = LIMITS[seed % LIMITS.length];
            int size = FLEET_SIZES[seed % FLEET_SIZES.length];
            int arrived = simulate(Fault.NONE, seed, size, perSecond).size();
            double offered = Math.max(SendSlots.MIN_PER_SECOND, perSecond) * DURATION_MS / 1_000;
            assertTrue(
                    arrived >= 0.6 * offered,
                    "seed %d, %d instances, %s a second: %d of %s requests"
                            .formatted(seed, size, perSecond, arrived, offered));
        }
    }

    @Test
    public void eachInstanceAsksAtMostOnceASecondWhileNoSlotIsFree() {
        int size = 38;
        LimitedFleetSimulation fleet = new LimitedFleetSimulation(1, size, 1);
        fleet.run(DURATION_MS);
        int requestsAndReplies = fleet.messages();

        double allowed = 2.0 * size * (DURATION_MS / 1_000.0 + 1);
        assertTrue(requestsAndReplies <= allowed, requestsAndReplies + " of " + allowed);
    }

    private static List<Long> simulate(Fault fault, long seed, int size, double perSecond) {
        LimitedFleetSimulation fleet = new LimitedFleetSimulation(seed, size, perSecond);
        Random random = new Random(seed + 1_000);
        if (fault == Fault.BURSTS || fault == Fault.ALL) {
            fleet.setBursts();
        }
        if (fault == Fault.LOST_MESSAGES || fault == Fault.ALL) {
            fleet.setLossRate(0.2);
        }
        if (fault == Fault.DEATHS || fault == Fault.ALL) {
            fleet.killAt(random.nextInt(30_000), false);
        }
        if (fault == Fault.RESTARTS || fault == Fault.ALL) {
            for (int i = 0; i < 4; i++) {
                fleet.killAt(random.nextInt(30_000), true);
            }
        }
        if (fault == Fault.CUTS || fault == Fault.ALL) {
            fleet.cutAt(2_000 + random.nextInt(6_000), 2_000 + random.nextInt(10_000));
            fleet.cutAt(22_000 + random.nextInt(6_000), 2_000 + random.nextInt(10_000));
        }
        fleet.run(DURATION_MS);
        return fleet.arrivalsMs();
    }

    private static int maxWithinWindow(List<Long> arrivalsMs) {
        int most = 0;
        int first = 0;
        for (int last = 0; last < arrivalsMs.size(); last++) {
            while (arrivalsMs.get(last) - arrivalsMs.get(first) >= WINDOW_MS) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }
}
