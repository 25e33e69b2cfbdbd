package org.filbertrudder.policy.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.filbertrudder.model.EndpointId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests when endpoints are probed after hints, on a virtual clock. */
public class ProbeScheduleTest {

    private static final EndpointId ENDPOINT = EndpointId.of("e");
    private static final long INTERVAL_MS = 1_000;

    /** Lists the times of hints and of the probes that are expected after them. */
    @DataProvider
    public Object[][] hints() {
        return new Object[][] {
            {List.of(0L), List.of(0L, 1_000L)},
            {List.of(0L, 999L), List.of(0L, 1_000L, 2_000L)},
            {List.of(0L, 500L, 1_500L), List.of(0L, 1_000L, 2_000L, 3_000L)},
            {List.of(0L, 1_999L), List.of(0L, 1_000L, 2_000L, 3_000L)},
            {List.of(0L, 5_000L), List.of(0L, 1_000L, 5_000L, 6_000L)},
        };
    }

    /** Guards against an endpoint that refuses connections just after it was probed. */
    @Test(dataProvider = "hints")
    public void probesOnceMoreAnIntervalAfterTheLastHint(List<Long> hintsMs, List<Long> probesMs) {
        ProbeSchedule schedule = new ProbeSchedule(INTERVAL_MS);
        List<Long> probedMs = new ArrayList<>();
        for (long nowMs = 0; nowMs < 10_000; nowMs++) {
            boolean due = !schedule.takeDue(nowMs).isEmpty();
            boolean atOnce = hintsMs.contains(nowMs) && schedule.noteHint(ENDPOINT, nowMs);
            if (due || atOnce) {
                probedMs.add(nowMs);
            }
        }

        assertEquals(probedMs, probesMs);
    }

    @Test
    public void endpointsAreProbedIndependently() {
        ProbeSchedule schedule = new ProbeSchedule(INTERVAL_MS);

        assertTrue(schedule.noteHint(ENDPOINT, 0));
        assertTrue(schedule.noteHint(EndpointId.of("f"), 500));
        assertFalse(schedule.noteHint(ENDPOINT, 600));
        assertEquals(schedule.takeDue(1_000), List.of(ENDPOINT));
    }
}
