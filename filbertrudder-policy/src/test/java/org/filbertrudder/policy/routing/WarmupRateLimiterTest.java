package org.filbertrudder.policy.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
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
        limiter.setCold(10_000, perSecond);
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

    @Test
    public void doesNotLimitAWarmEndpoint() {
        WarmupRateLimiter limiter = new WarmupRateLimiter();
        limiter.setCold(1_000, 1);
        limiter.recordStart(990);

        assertTrue(limiter.allowsRequest(1_000));
    }
}
