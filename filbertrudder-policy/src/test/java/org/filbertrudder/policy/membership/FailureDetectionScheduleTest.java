package org.filbertrudder.policy.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.filbertrudder.model.message.MemberState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests what members believe of each other under seeded schedules of cut links, frozen members and
 * a death.
 */
public class FailureDetectionScheduleTest {

    private static final MembershipSettings GATEWAY =
            new MembershipSettings(500, 1_500, 3_500, 2_000, 60_000, 3);
    private static final int MAX_BACKOFF_FACTOR = 16;
    private static final int MAX_CUT_LINKS = 2;
    private static final long SCHEDULE_MS = 90_000;
    private static final long MEAN_EVENT_INTERVAL_MS = 2_500;
    private static final long MAX_FREEZE_MS = 8_000;

    /** Returns settings, and the number of seeds to run with them. */
    @DataProvider
    public Object[][] settings() {
        return new Object[][] {{GATEWAY, 200}, {MembershipSettings.DEFAULT, 100}};
    }

    /**
     * Returns for how long a member may count as dead though it runs and a path exists: two
     * heartbeats show that tables differ, a table is asked for at most every second one, the member
     * learns of its death with the next one; then its refutation passes each member once.
     */
    private static long maxWronglyDeadMs(MembershipSettings settings, int members) {
        return 6 * settings.heartbeatMs() + propagationMs(members);
    }

    /** Returns until when a death is known to all if the suspicion time is doubled to a factor. */
    private static long maxDetectionMs(MembershipSettings settings, int members, int factor) {
        long heartbeatMs = settings.heartbeatMs();
        long suspicionMs = factor * settings.suspectAfterMs() + 2 * heartbeatMs;
        return suspicionMs
                + settings.answerValidMs()
                + settings.deadAfterMs()
                + heartbeatMs
                + propagationMs(members);
    }

    private static long propagationMs(int members) {
        return members * (SimulatedMembers.MAX_DELAY_MS + SimulatedMembers.STEP_MS);
    }

    /** Returns how long steady answers take to undo all doubling. */
    private static long calmMs(MembershipSettings settings) {
        return 2 * MAX_BACKOFF_FACTOR * settings.suspectAfterMs() + 10 * settings.heartbeatMs();
    }

    @Test(dataProvider = "settings")
    public void noRunningMemberIsDeadForLongAndADeathIsKnownInTime(
            MembershipSettings settings, int seeds) {
        List<String> violations = new ArrayList<>();
        for (long seed = 0; seed < seeds; seed++) {
            Run run = new Run(settings, seed);
            run.playSchedule();
            violations.addAll(run.mViolations);
            run.killOne();
            run.expectDeathWithin(MAX_BACKOFF_FACTOR, violations);
        }
        assertEquals(violations, List.of());
    }

    @Test(dataProvider = "settings")
    public void aDeathAfterACalmTimeIsKnownEverywhereWithoutDoubling(
            MembershipSettings settings, int seeds) {
        List<String> violations = new ArrayList<>();
        for (long seed = 0; seed < seeds; seed++) {
            Run run = new Run(settings, seed);
            run.playSchedule();
            run.mMembers.healAll();
            run.continueAll();
            run.mMembers.advance(calmMs(settings), () -> {});
            run.killOne();
            run.expectDeathWithin(1, violations);
        }
        assertEquals(violations, List.of());
    }

    @Test
    public void theMessagesOfACutLinkAreBounded() {
        for (int count = 8; count <= 64; count *= 2) {
            SimulatedMembers members = new SimulatedMembers(count, GATEWAY, 1);
            members.advance(10_000, () -> {});
            long quiet = members.messages();
            members.advance(60_000, () -> {});
            quiet = members.messages() - quiet;
            for (int other = 1; other < count; other++) {
                members.setCut(0, other, other % 2 == 0);
                members.setCut(other, 0, other % 2 == 0);
            }
            long cut = members.messages();
            members.advance(60_000, () -> {});
            cut = members.messages() - cut;

            assertTrue(cut < 2 * quiet, count + " members: " + quiet + ", with cuts " + cut);
        }
    }

    /** One schedule of faults. */
    private static final class Run {

        private final MembershipSettings mSettings;
        private final long mSeed;
        private final Random mRandom;
        private final SimulatedMembers mMembers;
        private final long[] mContinueMs;
        private final long[][] mDeadMs;
        private final List<int[]> mCuts = new ArrayList<>();
        private final List<String> mViolations = new ArrayList<>();
        private int mKilled = -1;
        private long mNextEventMs;

        Run(MembershipSettings settings, long seed) {
            mSettings = settings;
            mSeed = seed;
            mRandom = new Random(seed);
            mMembers = new SimulatedMembers(5 + mRandom.nextInt(4), settings, seed);
            mContinueMs = new long[mMembers.size()];
            mDeadMs = new long[mMembers.size()][mMembers.size()];
        }

        void playSchedule() {
            mMembers.advance(
                    SCHEDULE_MS,
                    () -> {
                        continueThoseDue();
                        if (mMembers.nowMs() >= mNextEventMs) {
                            double interval = -Math.log(1 - mRandom.nextDouble());
                            mNextEventMs =
                                    mMembers.nowMs() + (long) (interval * MEAN_EVENT_INTERVAL_MS);
                            causeEvent();
                        }
                        checkWronglyDead();
                    });
        }

        private void causeEvent() {
            int a = mRandom.nextInt(mMembers.size());
            int b = (a + 1 + mRandom.nextInt(mMembers.size() - 1)) % mMembers.size();
            switch (mRandom.nextInt(4)) {
                case 0, 1 -> cut(a, b, mRandom.nextBoolean());
                case 2 -> healOne();
                default -> {
                    mMembers.setFrozen(a, true);
                    mContinueMs[a] = mMembers.nowMs() + mRandom.nextLong(MAX_FREEZE_MS);
                }
            }
        }

        private void cut(int a, int b, boolean bothWays) {
            if (mCuts.size() == MAX_CUT_LINKS) {
                healOne();
            }
            mCuts.add(new int[] {a, b});
            mMembers.setCut(a, b, true);
            mMembers.setCut(b, a, bothWays);
        }

        private void healOne() {
            if (!mCuts.isEmpty()) {
                int[] link = mCuts.remove(mRandom.nextInt(mCuts.size()));
                mMembers.setCut(link[0], link[1], false);
                mMembers.setCut(link[1], link[0], false);
            }
        }

        private void continueThoseDue() {
            for (int i = 0; i < mMembers.size(); i++) {
                if (mMembers.isFrozen(i) && mMembers.nowMs() >= mContinueMs[i]) {
                    mMembers.setFrozen(i, false);
                }
            }
        }

        void continueAll() {
            for (int i = 0; i < mMembers.size(); i++) {
                if (mMembers.isFrozen(i)) {
                    mMembers.setFrozen(i, false);
                }
            }
        }

        /** Counts the time of each wrong belief while both run and a path leads there and back. */
        private void checkWronglyDead() {
            long maxMs = maxWronglyDeadMs(mSettings, mMembers.size());
            for (int at = 0; at < mMembers.size(); at++) {
                Set<Integer> reachable = reachableBothWays(at);
                for (int of = 0; of < mMembers.size(); of++) {
                    boolean isWrong =
                            mMembers.isRunning(at)
                                    && reachable.contains(of)
                                    && mMembers.state(of, at) == MemberState.DEAD;
                    mDeadMs[at][of] = isWrong ? mDeadMs[at][of] + SimulatedMembers.STEP_MS : 0;
                    if (mDeadMs[at][of] > maxMs) {
                        mDeadMs[at][of] = 0;
                        mViolations.add(describe(of, "dead", at));
                    }
                }
            }
        }

        private String describe(int of, Object state, int at) {
            return String.format(
                    "seed %d: %d is %s at %d, %d ms", mSeed, of, state, at, mMembers.nowMs());
        }

        /** Returns the running members that are linked in both directions, also through others. */
        private Set<Integer> reachableBothWays(int from) {
            Set<Integer> reached = new HashSet<>(Set.of(from));
            Deque<Integer> next = new ArrayDeque<>(reached);
            while (!next.isEmpty()) {
                int a = next.poll();
                for (int b = 0; b < mMembers.size(); b++) {
                    boolean isLinked = !mMembers.isCut(a, b) && !mMembers.isCut(b, a);
                    if (isLinked && mMembers.isRunning(b) && reached.add(b)) {
                        next.add(b);
                    }
                }
            }
            return reached;
        }

        void killOne() {
            mKilled = mRandom.nextInt(mMembers.size());
            mMembers.kill(mKilled);
        }

        void expectDeathWithin(int factor, List<String> violations) {
            continueAll();
            long maxMs = maxDetectionMs(mSettings, mMembers.size(), factor);
            mMembers.advance(maxMs, () -> {});
            for (int at = 0; at < mMembers.size(); at++) {
                MemberState state = mMembers.state(mKilled, at);
                if (at != mKilled && state != MemberState.DEAD) {
                    violations.add(describe(mKilled, state, at));
                }
            }
        }
    }
}
