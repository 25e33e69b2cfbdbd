package org.filbertrudder.policy.freshness;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests when an instance that has started may follow what it has read from the store. */
public class PeerConsultationTest {

    private static final long REQUEST = 7;

    private PeerConsultation mConsultation;

    @BeforeMethod
    public void createConsultation() {
        mConsultation = new PeerConsultation();
    }

    @Test
    public void instanceFollowsWhatItReadBeforeItsPeersReply() {
        mConsultation.noteStoreRead(0);
        mConsultation.begin(REQUEST, 2);

        assertFalse(mConsultation.checkEnd(true, PeerConsultation.MAX_WAIT_MS - 1));
        assertFalse(mConsultation.hasEnded());
        assertTrue(mConsultation.checkEnd(true, PeerConsultation.MAX_WAIT_MS));
        assertTrue(mConsultation.hasEnded());
    }

    @Test
    public void instanceWithoutPeersNeedNotWait() {
        assertFalse(mConsultation.checkEnd(false, 0), "the store has not been read");
        mConsultation.noteStoreRead(0);

        assertTrue(mConsultation.checkEnd(false, 0));
    }

    /** Lists the requests that two replies answer, whether they know the state, and the end. */
    @DataProvider
    public Object[][] replies() {
        return new Object[][] {
            {REQUEST, false, REQUEST, false, true},
            {REQUEST - 1, false, REQUEST, false, false},
            {REQUEST - 1, false, REQUEST - 1, false, false},
            {REQUEST - 1, true, REQUEST - 1, false, true},
            {REQUEST, true, REQUEST, false, true},
        };
    }

    @Test(dataProvider = "replies")
    public void endsWithAReplyThatKnowsTheStateOrWithAllReplies(
            long first, boolean firstKnows, long second, boolean secondKnows, boolean ends) {
        mConsultation.begin(REQUEST, 2);
        boolean ended = mConsultation.handleReply(first, firstKnows);
        ended |= mConsultation.handleReply(second, secondKnows);

        assertEquals(ended, ends);
        assertEquals(mConsultation.hasEnded(), ends);
    }

    @Test
    public void endsOnce() {
        mConsultation.begin(REQUEST, 1);

        assertTrue(mConsultation.handleReply(REQUEST, true));
        assertFalse(mConsultation.handleReply(REQUEST, true));
        assertFalse(mConsultation.checkEnd(false, PeerConsultation.MAX_WAIT_MS));
    }
}
