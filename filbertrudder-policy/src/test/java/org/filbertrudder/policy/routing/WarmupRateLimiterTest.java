package org.filbertrudder.policy.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the rate limit for endpoints that are warming up. */
public class WarmupRateLimiterTest {

    /** Lists the maximum requests per second. */
    @DataProvider
    public Object[][] limits() {
        return new Object[][] {{0}, {1}, {2}, {5}};
    }

    @Test(dataProvider = "limits")
    public void allowsNoMoreRequestsThanTheLimitInAnySecond(int perSecond) {
        WarmupRateLimiter limiter = new WarmupRateLimiter();
        limiter.setCold(10_000, perSecond, 0);
        List<Long> startsMs = new ArrayList<>();
        for (long nowMs = 0; nowMs < 10_000; nowMs += 7) {
            if (limiter.allowsRequest(nowMs)) {
                limiter.recordStart(nowMs);
                startsMs.add(nowMs);
            }
        }

        for (long startMs : startsMs) {
            long requestsInSecond =
                    startsMs.stream()
                            .filter(
                                    otherStartMs ->
                                            otherStartMs >= startMs
                                                    && otherStartMs < startMs + 1_000)
                            .count();
            assertTrue(
                    requestsInSecond <= perSecond,
                    requestsInSecond + " requests in the second from " + startMs);
        }
        assertEquals(startsMs.isEmpty(), perSecond == 0);
    }

    /** Lists rates at which two successive owners at full rate would break the platform's rule. */
    @DataProvider
    public Object[][] ratesOfSuccessiveOwners() {
        return new Object[][] {{2}, {8}, {20}};
    }

    @Test(dataProvider = "ratesOfSuccessiveOwners")
    public void warmupRateExceededByTwoSuccessiveOwners(int perSecond) {
        int allowed = (int) (1.5 * perSecond + 3);
        for (int seed = 0; seed < 40; seed++) {
            Random random = new Random(seed);
            WarmupRateLimiter[] limiters = {new WarmupRateLimiter(), new WarmupRateLimiter()};
            List<Long> startsMs = new ArrayList<>();
            int owner = 0;
            for (long nowMs = 0; nowMs < 20_000; nowMs += 5) {
                owner = random.nextInt(200) == 0 ? 1 - owner : owner;
                for (int i = 0; i < limiters.length; i++) {
                    limiters[i].setCold(60_000, i == owner ? perSecond : 0, nowMs);
                    if (limiters[i].allowsRequest(nowMs)) {
                        limiters[i].recordStart(nowMs);
                        startsMs.add(nowMs);
                    }
                }
            }
            int most = maxInOneSecond(startsMs);
            assertTrue(most <= allowed, "seed " + seed + ": " + most + " of " + allowed);
        }
    }

    private static int maxInOneSecond(List<Long> startsMs) {
        int most = 0;
        for (long startMs : startsMs) {
            most =
                    Math.max(
                            most,
                            (int)
                                    startsMs.stream()
                                            .filter(other -> other >= startMs)
                                            .filter(other -> other < startMs + 1_000)
                                            .count());
        }
        return most;
    }

    @Test
    public void doesNotLimitAWarmEndpoint() {
        WarmupRateLimiter limiter = new WarmupRateLimiter();
        limiter.setCold(1_000, 1, 0);
        limiter.recordStart(990);

        assertTrue(limiter.allowsRequest(1_000));
    }
}
