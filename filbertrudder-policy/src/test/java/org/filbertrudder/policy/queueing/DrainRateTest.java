package org.filbertrudder.policy.queueing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the estimated wait under a burst, under overload and in a blocked queue. */
public class DrainRateTest {

    private static final long MAX_WAIT_MS = 1_200;

    /** Lists how many tokens a service starts per millisecond. */
    @DataProvider
    public Object[][] serviceRates() {
        return new Object[][] {{20}, {100}, {400}};
    }

    /**
     * Guards against refusing requests of a burst after a period without load, such as a restart.
     * The burst takes half of the maximum wait to serve.
     */
    @Test(dataProvider = "serviceRates")
    public void doesNotMistakeABurstAfterLowLoadForOverload(int tokensPerMs) {
        DrainRate rate = new DrainRate();
        long nowMs = 60_000;
        rate.setWaiting(true, nowMs);
        for (int i = 0; i < 100; i++) {
            nowMs += 10;
            long tokensAhead = tokensPerMs * MAX_WAIT_MS / 2;
            assertTrue(
                    rate.waitMs(tokensAhead, nowMs) < MAX_WAIT_MS,
                    "estimate above the maximum after " + i * 10 + " ms");
            rate.recordStart(10L * tokensPerMs, nowMs);
        }
    }

    @Test(dataProvider = "serviceRates")
    public void estimatesTheTimeToDrainUnderOverload(int tokensPerMs) {
        DrainRate rate = new DrainRate();
        rate.setWaiting(true, 0);
        for (long nowMs = 10; nowMs <= 5_000; nowMs += 10) {
            rate.recordStart(10L * tokensPerMs, nowMs);
        }

        long waitMs = rate.waitMs(3_000L * tokensPerMs, 5_000);

        assertTrue(Math.abs(waitMs - 3_000) < 100, "estimated wait in ms: " + waitMs);
    }

    @Test
    public void ignoresTimeWithoutWaitingRequests() {
        DrainRate rate = new DrainRate();
        rate.setWaiting(true, 0);
        for (long nowMs = 10; nowMs <= 1_000; nowMs += 10) {
            rate.recordStart(1_000, nowMs);
        }
        rate.setWaiting(false, 1_000);
        rate.setWaiting(true, 500_000);

        assertEquals(rate.waitMs(100_000, 500_000), 1_000, 50);
    }

    @Test
    public void expectsABlockedQueueToStayBlocked() {
        DrainRate rate = new DrainRate();
        rate.setWaiting(true, 0);

        assertEquals(rate.waitMs(10, 100), 0);
        assertTrue(rate.waitMs(10, 1_500) > 800);
    }
}
