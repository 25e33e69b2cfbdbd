package org.filbertrudder.policy.connections;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when a connection is ended, and for which reason. */
public class ConnectionProgressTest {

    private static final ReadingLimits LIMITS = new ReadingLimits(3_000, 10_000);

    private ConnectionProgress mProgress;

    @BeforeMethod
    public void accept() {
        mProgress = new ConnectionProgress(0);
    }

    private void assertEndsAfter(long lastMs, EndReason reason) {
        assertEquals(mProgress.endReason(LIMITS, lastMs), Optional.empty());
        assertEquals(mProgress.endReason(LIMITS, lastMs + 1), Optional.of(reason));
    }

    @Test
    public void headIsDueFromAcceptingOnANewConnection() {
        mProgress.bytesReceived(2_000);

        assertEndsAfter(3_000, EndReason.HEAD_LATE);
    }

    @Test
    public void headIsDueFromItsFirstByteOnAKeptConnection() {
        mProgress.headRead(0);
        mProgress.requestRead();
        mProgress.answered(500, LIMITS.idleTimeoutMs());
        mProgress.bytesReceived(9_000);
        mProgress.bytesReceived(11_000);

        assertEndsAfter(12_000, EndReason.HEAD_LATE);
    }

    @Test
    public void headThatBeganBeforeTheLastAnswerIsDueFromIt() {
        mProgress.headRead(0);
        mProgress.requestRead();
        mProgress.bytesReceived(100);
        mProgress.answered(5_000, LIMITS.idleTimeoutMs());

        assertTrue(mProgress.hasPartOfHead());
        assertEndsAfter(8_000, EndReason.HEAD_LATE);
    }

    @Test
    public void onlyAPartOfAHeadGetsAStatus() {
        assertFalse(mProgress.hasPartOfHead());
        mProgress.bytesReceived(0);
        assertTrue(mProgress.hasPartOfHead());
        mProgress.headRead(10);
        mProgress.requestRead();
        mProgress.answered(20, LIMITS.idleTimeoutMs());
        assertFalse(mProgress.hasPartOfHead());
    }

    @Test
    public void connectionWithoutARequestIsIdle() {
        mProgress.headRead(0);
        mProgress.requestRead();
        mProgress.answered(500, LIMITS.idleTimeoutMs());

        assertEndsAfter(10_500, EndReason.IDLE);
    }

    /** Guards against a close that meets a request within the limit that its caller knows. */
    @Test
    public void idleLimitThatGetsShorterHoldsFromTheNextRequestOn() {
        ReadingLimits shorter = new ReadingLimits(3_000, 100);
        mProgress.headRead(0);
        mProgress.requestRead();
        mProgress.answered(500, LIMITS.idleTimeoutMs());
        assertEquals(mProgress.endReason(shorter, 10_500), Optional.empty());
        assertEquals(mProgress.endReason(shorter, 10_501), Optional.of(EndReason.IDLE));

        mProgress.headRead(10_600);
        mProgress.requestRead();
        mProgress.answered(11_000, shorter.idleTimeoutMs());
        assertEquals(mProgress.endReason(shorter, 11_101), Optional.of(EndReason.IDLE));
    }

    @Test
    public void idleLimitThatGetsLongerHoldsAtOnce() {
        mProgress.headRead(0);
        mProgress.requestRead();
        mProgress.answered(500, 100);

        assertEndsAfter(10_500, EndReason.IDLE);
    }

    @Test
    public void bodyIsDueByTheDeadline() {
        mProgress.headRead(100);
        mProgress.bodyDue(2_100);

        assertEndsAfter(2_100, EndReason.BODY_LATE);
    }

    @Test
    public void bodyBelowTheLeastPaceIsEnded() {
        mProgress.headRead(0);
        mProgress.bodyDue(60_000);
        mProgress.bodyReceived(2 * ConnectionProgress.LEAST_BYTES_PER_SECOND);

        assertEndsAfter(5_000, EndReason.BODY_SLOW);
    }

    @Test
    public void timeForWhichTheBodyIsNotReadDoesNotCount() {
        mProgress.headRead(0);
        mProgress.bodyDue(2_000);
        mProgress.bodyPaused(100);
        assertEquals(mProgress.endReason(LIMITS, 50_000), Optional.empty());
        mProgress.bodyResumed(900);

        assertEndsAfter(2_800, EndReason.BODY_LATE);
    }

    @Test
    public void restOfARefusedBodyIsDroppedForALimitedTime() {
        mProgress.headRead(0);
        mProgress.refused(100);

        assertEndsAfter(100 + ConnectionProgress.DROP_TIMEOUT_MS, EndReason.BODY_REFUSED);
    }

    @Test
    public void restOfARefusedBodyIsDroppedUpToALimit() {
        mProgress.headRead(0);
        mProgress.refused(100);
        mProgress.bodyReceived(ConnectionProgress.MAX_DROPPED_BYTES);
        assertEquals(mProgress.endReason(LIMITS, 200), Optional.empty());
        mProgress.bodyReceived(1);

        assertEquals(mProgress.endReason(LIMITS, 200), Optional.of(EndReason.BODY_REFUSED));
    }

    @Test
    public void wholeRequestIsNeverEnded() {
        mProgress.headRead(0);
        mProgress.bodyDue(2_000);
        mProgress.requestRead();

        assertEquals(mProgress.endReason(new ReadingLimits(0, 0), 1_000_000), Optional.empty());
    }

    @Test
    public void changedLimitsHoldAtOnce() {
        mProgress.bytesReceived(10);

        assertEquals(
                mProgress.endReason(new ReadingLimits(1_000, 10_000), 2_000),
                Optional.of(EndReason.HEAD_LATE));
        assertEquals(
                mProgress.endReason(new ReadingLimits(5_000, 10_000), 4_000), Optional.empty());
    }
}
