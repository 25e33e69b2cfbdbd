package org.filbertrudder.policy.orders;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests that successive senders of orders together keep the rate of weight fetches. */
public class WeightFetchLimiterTest {

    @Test
    public void aSenderThatIsResetBeforeItsFirstRateIsSetWaitsForAFullInterval() {
        WeightFetchLimiter limiter = new WeightFetchLimiter();
        limiter.reset(1_000);
        limiter.setRate(6);

        assertFalse(limiter.tryAcquire(1_000));
        assertFalse(limiter.tryAcquire(10_999));
        assertTrue(limiter.tryAcquire(11_000));
        assertFalse(limiter.tryAcquire(20_999));
        assertTrue(limiter.tryAcquire(21_000));
    }

    @Test
    public void aSenderWithoutARateFetchesNothing() {
        WeightFetchLimiter limiter = new WeightFetchLimiter();
        limiter.setRate(0);
        limiter.reset(0);

        assertFalse(limiter.tryAcquire(Long.MAX_VALUE / 2));
    }

    @Test
    public void aHigherRateAppliesToTheCurrentInterval() {
        WeightFetchLimiter limiter = new WeightFetchLimiter();
        limiter.setRate(1);
        limiter.reset(0);
        limiter.setRate(60);

        assertTrue(limiter.tryAcquire(1_000));
    }
}
