package org.filbertrudder.policy.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when permits are requested and may be used. */
public class SendPermitsTest {

    private SendPermits mPermits;

    @BeforeMethod
    public void createPermits() {
        mPermits = new SendPermits(1);
    }

    @Test
    public void isRequestedOnlyWithDemandAndOnceAtATime() {
        assertFalse(mPermits.shouldRequest(0));
        mPermits.noteDemand(0);
        mPermits.noteDemand(10);
        assertTrue(mPermits.shouldRequest(20));
        assertEquals(mPermits.request(1, 20), 2);
        assertFalse(mPermits.shouldRequest(30));
        assertTrue(mPermits.shouldRequest(20 + SendPermits.REPLY_TIMEOUT_MS));
        assertFalse(mPermits.shouldRequest(1_010));
    }

    @Test
    public void isValidOnlyAroundItsSlotAndForOneRequest() {
        mPermits.noteDemand(0);
        mPermits.request(1, 0);
        mPermits.handleReply(1, 1, 800, 40);

        assertFalse(mPermits.isAvailable(839));
        assertTrue(mPermits.isAvailable(840));
        assertTrue(mPermits.isAvailable(800 + SendPermits.VALIDITY_MS - 1));
        assertFalse(mPermits.isAvailable(800 + SendPermits.VALIDITY_MS));
        mPermits.use();
        assertFalse(mPermits.isAvailable(900));
    }

    @Test
    public void ignoresRepeatedRepliesAndThoseOfEarlierRequests() {
        mPermits.noteDemand(0);
        mPermits.request(1, 0);
        mPermits.request(2, 600);
        mPermits.handleReply(1, 1, 0, 700);
        assertFalse(mPermits.isAvailable(700));
        mPermits.handleReply(2, 1, 0, 710);
        mPermits.use();
        mPermits.handleReply(2, 1, 0, 720);
        assertFalse(mPermits.isAvailable(730));
    }

    @Test
    public void aReplyThatTookLongerThanThePermitIsValidGivesNone() {
        mPermits.noteDemand(0);
        mPermits.request(1, 0);
        mPermits.handleReply(1, 1, 0, SendPermits.VALIDITY_MS);

        assertFalse(mPermits.isAvailable(SendPermits.VALIDITY_MS));
    }

    @Test
    public void expectsAPermitAtTheNextFreeSlot() {
        mPermits.noteDemand(0);
        mPermits.request(1, 0);
        mPermits.handleReply(1, 0, 3_000, 10);

        assertFalse(mPermits.isExpectedBy(3_009));
        assertTrue(mPermits.isExpectedBy(3_010));
        assertEquals(mPermits.expectedWaitMs(0, 10), 3_000);
        assertEquals(mPermits.expectedWaitMs(2, 10), 5_000);
    }

    @Test
    public void expectsPermitsAsSeldomAsItGetsThemBesideOtherInstances() {
        long id = 1;
        for (long grantedMs = 10_000; grantedMs <= 80_000; grantedMs += 10_000) {
            mPermits.request(id, grantedMs);
            mPermits.handleReply(id++, 1, 0, grantedMs);
            mPermits.setLimit(1);
            mPermits.use();
            for (long waitMs = 8_000; waitMs > 0 && grantedMs < 80_000; waitMs -= 2_000) {
                long nowMs = grantedMs + 10_000 - waitMs;
                mPermits.request(id, nowMs);
                mPermits.handleReply(id++, 0, waitMs, nowMs);
            }
        }
        long expectedMs = mPermits.expectedWaitMs(0, 80_000);
        assertTrue(expectedMs > 9_000 && expectedMs <= 10_000, expectedMs + " ms");
    }

    @Test
    public void expectsPermitsByTheLimitAfterItHasPausedRequests() {
        mPermits.request(1, 0);
        mPermits.handleReply(1, 1, 0, 0);
        mPermits.request(2, 30_000);
        mPermits.handleReply(2, 1, 0, 30_000);
        mPermits.use();

        assertEquals(mPermits.expectedWaitMs(0, 30_000), 1_000);
    }
}
