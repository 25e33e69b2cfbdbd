package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.filbertrudder.scenarios.platform.KeepAliveConnection.End;
import org.filbertrudder.scenarios.platform.KeepAliveConnection.Exchange;
import org.filbertrudder.scenarios.platform.StopChecker.Disturbance;
import org.filbertrudder.scenarios.platform.StopChecker.Handling;
import org.filbertrudder.scenarios.platform.StopChecker.Request;
import org.filbertrudder.scenarios.platform.StopChecker.Stop;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which stops and which ends of requests break a rule. */
public class StopCheckerTest {

    private static final long GRACE_MS = 4_000;
    private static final long SENT_MS = 2_000;
    private static final long SOON_MS = SENT_MS + StopChecker.LOSS_SLACK_MS;
    private static final Handling RUN = new Handling(1, 1, Long.MAX_VALUE);

    private StopChecker mChecker;

    @BeforeMethod
    public void createChecker() {
        mChecker = new StopChecker(GRACE_MS);
    }

    private void recordStop(boolean aliveAtEnd, Disturbance disturbance, long disturbedMs) {
        mChecker.record(new Stop(1, "edge-1", 1_000, 5_000, aliveAtEnd, disturbance, disturbedMs));
    }

    private static Request request(End end, long endedMs, int status, boolean wholeStream) {
        Exchange exchange = new Exchange(end, SENT_MS, endedMs, status, "", false);
        return new Request(1, "a", false, exchange, wholeStream);
    }

    private void assertBreaks(String rule, Handling handling) {
        List<String> violations = mChecker.violations(Map.of("a", handling));
        assertEquals(violations.size(), 1, violations.toString());
        assertTrue(violations.get(0).startsWith(rule), violations.toString());
    }

    private void assertBreaksNothing(Handling handling) {
        assertEquals(mChecker.violations(Map.of("a", handling)), List.of());
    }

    /** Lists requests that end as they may, and what replicas did with them. */
    @DataProvider
    public Object[][] properEnds() {
        return new Object[][] {
            {request(End.WHOLE, 2_900, 200, true), RUN},
            {request(End.WHOLE, 2_900, 502, true), RUN},
            {request(End.WHOLE, 2_900, 503, true), Handling.NONE},
            {request(End.WHOLE, 2_900, 503, true), new Handling(1, 0, Long.MAX_VALUE)},
            {request(End.CLOSED, SOON_MS, 0, true), Handling.NONE},
            {request(End.NOT_SENT, 2_900, 0, true), Handling.NONE},
            {request(End.CUT, 2_900, 200, false), new Handling(1, 1, 2_900)},
        };
    }

    @Test(dataProvider = "properEnds")
    public void properEndBreaksARule(Request request, Handling handling) {
        recordStop(false, Disturbance.NONE, 0);
        mChecker.record(request);
        assertBreaksNothing(handling);
    }

    /** Lists requests without an answer, and what replicas did with them. */
    @DataProvider
    public Object[][] lostRequests() {
        return new Object[][] {
            {request(End.CLOSED, SOON_MS + 1, 0, true), Handling.NONE},
            {request(End.CLOSED, SENT_MS + 1, 0, true), new Handling(1, 0, Long.MAX_VALUE)},
            {request(End.CLOSED, SENT_MS + 1, 0, true), RUN},
            {request(End.CUT, SENT_MS + 1, 0, true), Handling.NONE},
            {request(End.CUT, 2_900, 200, false), RUN},
            {request(End.CUT, 2_900, 200, false), new Handling(1, 1, 2_901)},
            {request(End.SILENT, 9_000, 0, true), Handling.NONE},
            {request(End.WHOLE, 2_900, 200, false), RUN},
            {request(End.NOT_SENT, SENT_MS + 1, 0, true), RUN},
        };
    }

    @Test(dataProvider = "lostRequests")
    public void requestWithoutAnAnswerIsAccepted(Request request, Handling handling) {
        recordStop(false, Disturbance.NONE, 0);
        mChecker.record(request);
        assertBreaks("LOST", handling);
    }

    /** Lists disturbances that excuse what follows. */
    @DataProvider
    public Object[][] disturbances() {
        return new Object[][] {{Disturbance.KILLED}, {Disturbance.FROZEN_AT_END}};
    }

    @Test(dataProvider = "disturbances")
    public void requestThatADisturbanceEndedBreaksARule(Disturbance disturbance) {
        recordStop(true, disturbance, 2_500);
        mChecker.record(request(End.CUT, 2_500, 200, false));
        assertBreaksNothing(RUN);
    }

    @Test(dataProvider = "disturbances")
    public void requestLostBeforeADisturbanceIsExcused(Disturbance disturbance) {
        recordStop(true, disturbance, 2_500);
        mChecker.record(request(End.CUT, 2_499, 200, false));
        assertBreaks("LOST", RUN);
    }

    @Test
    public void processThatOutlastsItsGraceBreaksNothing() {
        recordStop(true, Disturbance.NONE, 0);
        assertBreaks("LOST", Handling.NONE);
    }

    @Test
    public void refusedRequestHasRun() {
        recordStop(false, Disturbance.NONE, 0);
        mChecker.record(request(End.WHOLE, 2_900, 503, true));
        assertBreaks("REFUSED", RUN);
    }

    @Test
    public void unrepeatableRequestRunsTwice() {
        recordStop(false, Disturbance.NONE, 0);
        mChecker.record(request(End.WHOLE, 2_900, 200, true));
        assertBreaks("Run 2 times", RUN.plus(RUN));
    }
}
