package org.filbertrudder.policy.freshness;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests when an instance reads the store. */
public class ReadTimerTest {

    private static final long RELAY_INTERVAL_MS = 1_200;
    private static final long RETRY_MS = 500;

    /** Lists whether the instance is a relay, whether its reads fail, and when it reads. */
    @DataProvider
    public Object[][] reads() {
        return new Object[][] {
            {true, false, List.of(0L, 1_200L, 2_400L, 3_600L)},
            {true, true, List.of(0L, 500L, 1_000L, 1_500L, 2_000L, 2_500L, 3_000L, 3_500L, 4_000L)},
            // The answer to the first read may be lost; refused calls are charged.
            {false, false, List.of(0L, 500L, 2_300L)},
            {false, true, List.of(0L, 500L, 2_300L)},
        };
    }

    @Test(dataProvider = "reads")
    public void readsAreSpaced(boolean isRelay, boolean fails, List<Long> expected) {
        ReadTimer timer = new ReadTimer(RELAY_INTERVAL_MS, RETRY_MS);
        List<Long> reads = new ArrayList<>();
        for (long nowMs = 0; nowMs <= 4_000; nowMs += 100) {
            if (timer.isDue(nowMs)) {
                reads.add(nowMs);
                timer.noteRead(isRelay, true, nowMs);
                if (fails) {
                    timer.noteFailure(isRelay, nowMs);
                }
            }
        }

        assertEquals(reads, expected);
    }

    @Test
    public void firstReadOfEachOutageIsRepeatedSoon() {
        ReadTimer timer = new ReadTimer(RELAY_INTERVAL_MS, RETRY_MS);
        timer.noteRead(false, true, 0);
        timer.noteCurrent();
        timer.noteRead(false, true, 10_000);

        assertEquals(timer.isDue(10_000 + RETRY_MS), true);
    }
}
