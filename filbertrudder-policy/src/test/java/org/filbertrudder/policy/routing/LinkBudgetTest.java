package org.filbertrudder.policy.routing;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.filbertrudder.model.RegionId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the limit on what forwarded requests use of a link. */
public class LinkBudgetTest {

    private static final RegionId THERE = RegionId.of("there");
    private static final double BYTES_PER_SECOND = 100_000;
    private static final int LARGEST_BYTES = 30_000;

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}};
    }

    @Test(dataProvider = "seeds")
    public void carriesNoMoreThanTheRateAndOneSecondInAdvance(long seed) {
        Random random = new Random(seed);
        LinkBudget budget = new LinkBudget();
        double carried = 0;
        for (long nowMs = 0; nowMs < 60_000; nowMs += random.nextInt(50)) {
            if (budget.hasRoom(THERE, BYTES_PER_SECOND, nowMs)) {
                int bytes = 1 + random.nextInt(LARGEST_BYTES);
                budget.charge(THERE, bytes);
                carried += bytes;
            }
        }

        assertTrue(carried <= 61 * BYTES_PER_SECOND + LARGEST_BYTES, "carried " + carried);
        assertTrue(carried >= 59 * BYTES_PER_SECOND, "carried " + carried);
    }

    @Test
    public void recoversFromALongAnswer() {
        LinkBudget budget = new LinkBudget();
        assertTrue(budget.hasRoom(THERE, BYTES_PER_SECOND, 0));

        budget.charge(THERE, 300_000);

        assertFalse(budget.hasRoom(THERE, BYTES_PER_SECOND, 1_900));
        assertTrue(budget.hasRoom(THERE, BYTES_PER_SECOND, 2_100));
    }

    @Test
    public void aShareOfNothingCarriesNothing() {
        assertFalse(new LinkBudget().hasRoom(THERE, 0, 1_000));
    }
}
