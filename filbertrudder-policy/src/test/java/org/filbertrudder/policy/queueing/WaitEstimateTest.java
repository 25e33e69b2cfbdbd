package org.filbertrudder.policy.queueing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.filbertrudder.model.AccountId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how well waits in a fair queue are foreseen under a flood of one account. */
public class WaitEstimateTest {

    private static final AccountId LARGE = AccountId.of("large");
    private static final AccountId SMALL = AccountId.of("small");
    private static final long GOAL_MS = 1_200;
    private static final long TOKENS = 1_000;
    private static final long TOKENS_PER_MS = 50;
    private static final long LENGTH_MS = 10_000;
    private static final double SMALL_PART = 0.33;

    /** Lists seeds. */
    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1}, {2}, {3}, {4}};
    }

    /**
     * The load: one account sends three times what the service can do, a small one a third of it.
     *
     * <p>The baseline estimates by the tokens that stand before a request.
     */
    @Test(dataProvider = "seeds")
    public void fewRequestsOfAFloodAreHeldAndThenRefused(int seed) {
        Flood byTokensAhead = new Flood(seed, false);
        Flood estimated = new Flood(seed, true);
        byTokensAhead.play();
        estimated.play();

        assertTrue(
                estimated.mHeldInVain * 2 < byTokensAhead.mHeldInVain,
                estimated.mHeldInVain + " and " + byTokensAhead.mHeldInVain);
        assertTrue(
                estimated.mServed >= 0.95 * byTokensAhead.mServed,
                estimated.mServed + " and " + byTokensAhead.mServed);
        assertEquals(estimated.mSmallRefused, 0);
    }

    /** Plays the flood on a virtual clock. */
    private static final class Flood {

        private final Random mRandom;
        private final boolean mWithEstimate;
        private final FairQueue<AccountId> mQueue = new FairQueue<>();
        private final WaitEstimate mWaits = new WaitEstimate();
        private final DrainRate mAll = new DrainRate();
        private long mHeldInVain;
        private long mServed;
        private long mSmallRefused;

        Flood(int seed, boolean withEstimate) {
            mRandom = new Random(seed);
            mWithEstimate = withEstimate;
        }

        void play() {
            long freeAtMs = 0;
            for (long nowMs = 0; nowMs < LENGTH_MS; nowMs++) {
                double perMs = (double) TOKENS_PER_MS / TOKENS;
                if (mRandom.nextDouble() < 3 * perMs) {
                    arrive(LARGE, nowMs);
                }
                if (mRandom.nextDouble() < SMALL_PART * perMs) {
                    arrive(SMALL, nowMs);
                }
                mHeldInVain += mQueue.removeExpired(nowMs).size();
                if (nowMs >= freeAtMs && mQueue.size() > 0) {
                    AccountId next = mQueue.poll().orElseThrow();
                    mWaits.noteStart(next, TOKENS, nowMs);
                    mAll.noteStart(TOKENS, nowMs);
                    mServed++;
                    freeAtMs = nowMs + TOKENS / TOKENS_PER_MS;
                }
                mWaits.noteQueue(mQueue, nowMs);
                mAll.setWaiting(mQueue.size() > 0, nowMs);
            }
        }

        private void arrive(AccountId account, long nowMs) {
            long waitMs =
                    mWithEstimate
                            ? mWaits.waitMs(account, mQueue, nowMs)
                            : mAll.waitMs(mQueue.tokensAhead(account), nowMs);
            if (waitMs > GOAL_MS) {
                mSmallRefused += account.equals(SMALL) ? 1 : 0;
                return;
            }
            mQueue.add(account, account, TOKENS, nowMs + GOAL_MS);
            mWaits.noteWaiting(account, nowMs);
            mAll.setWaiting(true, nowMs);
        }
    }
}
