package org.filbertrudder.policy.queueing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.filbertrudder.model.AccountId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the estimated waits in a fair queue while one account overloads the service. */
public class WaitEstimateTest {

    private static final AccountId LARGE = AccountId.of("large");
    private static final AccountId SMALL = AccountId.of("small");
    private static final long MAX_WAIT_MS = 1_200;
    private static final long TOKENS_PER_REQUEST = 1_000;
    private static final long TOKENS_PER_MS = 50;
    private static final long DURATION_MS = 10_000;
    private static final double SMALL_ACCOUNT_LOAD = 0.33;

    /** Lists the random seeds of the simulated load. */
    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1}, {2}, {3}, {4}};
    }

    /**
     * Guards against queueing requests that expire before they start. One account sends three times
     * the capacity of the service, a small account a third of the capacity.
     *
     * <p>The baseline estimates the wait by the tokens ahead of a request only.
     */
    @Test(dataProvider = "seeds")
    public void reducesTheRequestsThatExpireInTheQueueUnderOverload(int seed) {
        OverloadSimulation byTokensAhead = new OverloadSimulation(seed, false);
        OverloadSimulation byWaitEstimate = new OverloadSimulation(seed, true);
        byTokensAhead.run();
        byWaitEstimate.run();

        assertTrue(
                byWaitEstimate.mExpired * 2 < byTokensAhead.mExpired,
                byWaitEstimate.mExpired + " expired requests, baseline: " + byTokensAhead.mExpired);
        assertTrue(
                byWaitEstimate.mServed >= 0.95 * byTokensAhead.mServed,
                byWaitEstimate.mServed + " served requests, baseline: " + byTokensAhead.mServed);
        assertEquals(byWaitEstimate.mSmallAccountRefused, 0);
    }

    /** Simulates the overload on a virtual clock. */
    private static final class OverloadSimulation {

        private final Random mRandom;
        private final boolean mUseWaitEstimate;
        private final FairQueue<AccountId> mQueue = new FairQueue<>();
        private final WaitEstimate mWaitEstimate = new WaitEstimate();
        private final DrainRate mTotalRate = new DrainRate();
        private long mExpired;
        private long mServed;
        private long mSmallAccountRefused;

        OverloadSimulation(int seed, boolean useWaitEstimate) {
            mRandom = new Random(seed);
            mUseWaitEstimate = useWaitEstimate;
        }

        void run() {
            long nextStartMs = 0;
            for (long nowMs = 0; nowMs < DURATION_MS; nowMs++) {
                double capacityPerMs = (double) TOKENS_PER_MS / TOKENS_PER_REQUEST;
                if (mRandom.nextDouble() < 3 * capacityPerMs) {
                    arrive(LARGE, nowMs);
                }
                if (mRandom.nextDouble() < SMALL_ACCOUNT_LOAD * capacityPerMs) {
                    arrive(SMALL, nowMs);
                }
                mExpired += mQueue.removeExpired(nowMs).size();
                if (nowMs >= nextStartMs && mQueue.size() > 0) {
                    AccountId next = mQueue.poll().orElseThrow();
                    mWaitEstimate.recordStarted(next, TOKENS_PER_REQUEST, nowMs);
                    mTotalRate.recordStart(TOKENS_PER_REQUEST, nowMs);
                    mServed++;
                    nextStartMs = nowMs + TOKENS_PER_REQUEST / TOKENS_PER_MS;
                }
                mWaitEstimate.updateFromQueue(mQueue, nowMs);
                mTotalRate.setWaiting(mQueue.size() > 0, nowMs);
            }
        }

        private void arrive(AccountId account, long nowMs) {
            long waitMs =
                    mUseWaitEstimate
                            ? mWaitEstimate.waitMs(account, mQueue, nowMs)
                            : mTotalRate.waitMs(mQueue.tokensAhead(account), nowMs);
            if (waitMs > MAX_WAIT_MS) {
                mSmallAccountRefused += account.equals(SMALL) ? 1 : 0;
                return;
            }
            mQueue.add(account, account, TOKENS_PER_REQUEST, nowMs + MAX_WAIT_MS);
            mWaitEstimate.recordEnqueued(account, nowMs);
            mTotalRate.setWaiting(true, nowMs);
        }
    }
}
