package org.filbertrudder.policy.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.retry.SuspectRequests.Decision;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that requests which are answered are not condemned for crashes that they ran in. */
public class AnsweredSuspectsTest {

    private static final RequestDigest LOOKUP = new RequestDigest(AccountId.of("club"), "d1");
    private static final int MAX_CRASHES = 3;
    private static final long MINUTE_MS = 60_000;

    private SuspectRequests mSuspects;

    @BeforeMethod
    public void createSuspects() {
        mSuspects = new SuspectRequests(10, 60 * MINUTE_MS, MAX_CRASHES);
    }

    private boolean crash(String endpoint, boolean alone, long atMs) {
        return mSuspects.recordCrash(
                new PeerMessage.CrashReport(
                        LOOKUP.account(),
                        LOOKUP.bodySha256(),
                        EndpointId.of(endpoint),
                        atMs,
                        alone),
                atMs);
    }

    /** Guards against lookups that are refused as they ran in three unrelated crashes. */
    @Test
    public void lookupThatIsAnsweredIsRefusedAfterUnrelatedCrashes() {
        for (int i = 0; i < 2 * MAX_CRASHES; i++) {
            crash("e" + i, false, i * MINUTE_MS);
            mSuspects.recordAnswer(LOOKUP, i * MINUTE_MS + 1);
        }

        assertEquals(mSuspects.decisionFor(LOOKUP, 6 * MINUTE_MS), Decision.UNRESTRICTED);
    }

    @Test
    public void answerThatWasUnderWayEndsARefusal() {
        for (int i = 0; i < MAX_CRASHES; i++) {
            crash("e" + i, false, i * MINUTE_MS);
        }
        assertEquals(mSuspects.decisionFor(LOOKUP, 3 * MINUTE_MS), Decision.REFUSED);

        mSuspects.recordAnswer(LOOKUP, 3 * MINUTE_MS);

        assertEquals(mSuspects.decisionFor(LOOKUP, 3 * MINUTE_MS), Decision.UNRESTRICTED);
    }

    @Test
    public void requestThatCrashesEachEndpointIsRefused() {
        mSuspects.recordAnswer(LOOKUP, 0);
        for (int i = 0; i < MAX_CRASHES; i++) {
            crash("e" + i, false, i * MINUTE_MS);
        }

        assertEquals(mSuspects.decisionFor(LOOKUP, 3 * MINUTE_MS), Decision.REFUSED);
    }

    @Test
    public void requestThatCrashedAnEndpointAloneIsRefusedForGood() {
        crash("e1", true, 0);
        mSuspects.recordAnswer(LOOKUP, 1);

        assertEquals(mSuspects.decisionFor(LOOKUP, MINUTE_MS), Decision.REFUSED);
    }

    /** Guards against reports that circulate without end, as answers make them new again. */
    @Test
    public void reportOfAClearedCrashIsSentOnAgain() {
        assertTrue(crash("e1", false, 0));
        mSuspects.recordAnswer(LOOKUP, 1);

        assertFalse(crash("e1", false, 0));
        assertTrue(crash("e2", false, MINUTE_MS), "another crash");
        assertEquals(mSuspects.decisionFor(LOOKUP, MINUTE_MS), Decision.EXCLUSIVE);
    }

    @Test
    public void successSpeaksForARequestForSomeMinutes() {
        crash("e1", false, 0);
        assertFalse(mSuspects.isExonerated(LOOKUP, 1));
        mSuspects.recordAnswer(LOOKUP, 1);

        assertTrue(mSuspects.isExonerated(LOOKUP, 9 * MINUTE_MS));
        assertFalse(mSuspects.isExonerated(LOOKUP, 11 * MINUTE_MS));
    }
}
