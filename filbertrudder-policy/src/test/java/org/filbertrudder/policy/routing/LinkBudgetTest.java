package org.filbertrudder.policy.routing;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.filbertrudder.model.RegionId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the bandwidth limit of a link for forwarded requests. */
public class LinkBudgetTest {

    private static final RegionId REMOTE_REGION = RegionId.of("there");
    private static final double BYTES_PER_SECOND = 100_000;
    private static final int MAX_CHARGE_BYTES = 30_000;

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}};
    }

    @Test(dataProvider = "seeds")
    public void allowsTheRatePlusOneSecondInAdvance(long seed) {
        Random random = new Random(seed);
        LinkBudget budget = new LinkBudget();
        double chargedBytes = 0;
        for (long nowMs = 0; nowMs < 60_000; nowMs += random.nextInt(50)) {
            if (budget.allowsRequest(REMOTE_REGION, BYTES_PER_SECOND, nowMs)) {
                int bytes = 1 + random.nextInt(MAX_CHARGE_BYTES);
                budget.charge(REMOTE_REGION, bytes);
                chargedBytes += bytes;
            }
        }

        assertTrue(
                chargedBytes <= 61 * BYTES_PER_SECOND + MAX_CHARGE_BYTES,
                "charged bytes: " + chargedBytes);
        assertTrue(chargedBytes >= 59 * BYTES_PER_SECOND, "charged bytes: " + chargedBytes);
    }

    @Test
    public void recoversFromAnOverdraft() {
        LinkBudget budget = new LinkBudget();
        assertTrue(budget.allowsRequest(REMOTE_REGION, BYTES_PER_SECOND, 0));

        budget.charge(REMOTE_REGION, 300_000);

        assertFalse(budget.allowsRequest(REMOTE_REGION, BYTES_PER_SECOND, 1_900));
        assertTrue(budget.allowsRequest(REMOTE_REGION, BYTES_PER_SECOND, 2_100));
    }

    @Test
    public void allowsNoRequestAtARateOfZero() {
        assertFalse(new LinkBudget().allowsRequest(REMOTE_REGION, 0, 1_000));
    }
}
