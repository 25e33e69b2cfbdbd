package org.filbertrudder.policy.queueing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the estimate of waits, with the load patterns that it answers. */
public class DrainRateTest {

    private static final long GOAL_MS = 1_200;

    /** Lists how many tokens a service can start in a millisecond. */
    @DataProvider
    public Object[][] speeds() {
        return new Object[][] {{20}, {100}, {400}};
    }

    /**
     * The load: a quiet spell, as after a restart, then a burst that takes half a goal to serve.
     */
    @Test(dataProvider = "speeds")
    public void aBurstAfterAQuietSpellIsNotTakenForOverload(int tokensPerMs) {
        DrainRate rate = new DrainRate();
        long nowMs = 60_000;
        rate.setWaiting(true, nowMs);
        for (int i = 0; i < 100; i++) {
            nowMs += 10;
            long ahead = tokensPerMs * GOAL_MS / 2;
            assertTrue(rate.waitMs(ahead, nowMs) < GOAL_MS, "refused after " + i * 10 + " ms");
            rate.noteStart(10L * tokensPerMs, nowMs);
        }
    }

    @Test(dataProvider = "speeds")
    public void underOverloadTheEstimateIsTheTimeToDrain(int tokensPerMs) {
        DrainRate rate = new DrainRate();
        rate.setWaiting(true, 0);
        for (long nowMs = 10; nowMs <= 5_000; nowMs += 10) {
            rate.noteStart(10L * tokensPerMs, nowMs);
        }

        long waitMs = rate.waitMs(3_000L * tokensPerMs, 5_000);

        assertTrue(Math.abs(waitMs - 3_000) < 100, "estimate " + waitMs);
    }

    @Test
    public void timeWithoutWaitingRequestsDoesNotCount() {
        DrainRate rate = new DrainRate();
        rate.setWaiting(true, 0);
        for (long nowMs = 10; nowMs <= 1_000; nowMs += 10) {
            rate.noteStart(1_000, nowMs);
        }
        rate.setWaiting(false, 1_000);
        rate.setWaiting(true, 500_000);

        assertEquals(rate.waitMs(100_000, 500_000), 1_000, 50);
    }

    @Test
    public void aQueueThatStandsStillIsExpectedToGoOnSo() {
        DrainRate rate = new DrainRate();
        rate.setWaiting(true, 0);

        assertEquals(rate.waitMs(10, 100), 0);
        assertTrue(rate.waitMs(10, 1_500) > 800);
    }
}
