package org.filbertrudder.policy.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests how the number of events of a response is learned. */
public class OutputEventsTest {

    private static final long TOKENS_PER_EVENT = 8;

    @Test
    public void expectsNothingBeforeAStreamHasCompleted() {
        assertTrue(new OutputEvents().expectedEvents(100).isEmpty());
    }

    @Test
    public void aCallerWithAnAbsurdEstimateChangesTheExpectationOfAll() {
        OutputEvents outputEvents = new OutputEvents();
        for (int i = 0; i < 100; i++) {
            outputEvents.recordCompleted(20 * TOKENS_PER_EVENT, 20);
        }
        outputEvents.recordCompleted(1_000_000_000, 10);
        outputEvents.recordCompleted(1, 10);

        assertEquals(outputEvents.expectedEvents(800).orElseThrow(), 100, 10);
    }
}
