package org.filbertrudder.policy.scheduling;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.AllowedRegions;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.policy.routing.PromptDemand;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Replays callers that ask for more prompts than the engines of a region can read. */
public class GoalAdmissionTest {

    private static final RegionId NORTH = RegionId.of("north");
    private static final int ENGINES = 4;
    private static final double TOKENS_PER_MS = 40;
    private static final long DURATION_MS = 20_000;
    private static final long GOAL_MS = 1_200;

    /** The first seconds, in which the speed of the engines is learned. */
    private static final long LEARNING_MS = 4_000;

    private final List<Long> mEngineFreeMs = new ArrayList<>();
    private final List<Begin> mBegins = new ArrayList<>();
    private RegionScheduler mScheduler;
    private long mNext;
    private int mStarted;
    private int mLate;

    /** Provides the demand as a multiple of the reading speed, and the tokens of a prompt. */
    @DataProvider
    public Object[][] demands() {
        return new Object[][] {{1.3, 2_000}, {2, 2_000}, {2, 8_000}, {4, 1_000}};
    }

    /**
     * Guards against a queue that is always as long as the latency goal, so that each request
     * starts when it can only be late.
     */
    @Test(dataProvider = "demands")
    public void startsMeetTheGoalUnderSustainedOverload(double multiple, long tokens) {
        mEngineFreeMs.clear();
        mBegins.clear();
        mStarted = 0;
        mLate = 0;
        mScheduler =
                new RegionScheduler(
                        ServiceId.of("chat"), NORTH, new SpareRoom(NORTH, List.of(NORTH), 30));
        List<EngineDescription> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            mEngineFreeMs.add(0L);
            engines.add(
                    new EngineDescription(
                            EndpointId.of("engine-" + i), 64, 10_000_000, true, false));
        }
        mScheduler.setEngines(engines, 1);
        double intervalMs = tokens / (multiple * ENGINES * TOKENS_PER_MS);
        double nextMs = 1;
        for (long nowMs = 1; nowMs < DURATION_MS; nowMs++) {
            for (; nextMs <= nowMs; nextMs += intervalMs) {
                submit(tokens, nowMs);
            }
            begin(nowMs);
            if (nowMs % 5 == 0) {
                decide(tokens, nowMs);
            }
        }
        assertTrue(mStarted > 100, "started: " + mStarted);
        assertTrue(mLate < 0.05 * mStarted, "late: " + mLate + " of " + mStarted);
        double usedMs = mStarted * tokens / (ENGINES * TOKENS_PER_MS);
        assertTrue(usedMs > 0.9 * (DURATION_MS - LEARNING_MS), "ms of reading: " + usedMs);
    }

    private void submit(long tokens, long nowMs) {
        mScheduler.submit(
                new StartRequest(
                        new StartId(InstanceId.of("instance-0"), nowMs << 16 | mNext++ % 65_536),
                        AccountId.of("account"),
                        0,
                        new PromptDemand(List.of(), tokens, 10),
                        AllowedRegions.any(),
                        Set.of(),
                        false,
                        0,
                        GOAL_MS,
                        GOAL_MS,
                        12_000,
                        mNext),
                nowMs);
    }

    private void decide(long tokens, long nowMs) {
        for (StartDecision decision : mScheduler.decide(nowMs)) {
            if (decision instanceof StartDecision.Start start) {
                int engine = Integer.parseInt(start.endpoint().value().substring(7));
                long beginMs =
                        Math.max(nowMs, mEngineFreeMs.get(engine))
                                + Math.round(tokens / TOKENS_PER_MS);
                mEngineFreeMs.set(engine, beginMs);
                mBegins.add(new Begin(start.id(), beginMs));
                if (nowMs >= LEARNING_MS) {
                    mStarted++;
                    mLate += beginMs - (start.id().number() >> 16) > GOAL_MS ? 1 : 0;
                }
            }
        }
    }

    private void begin(long nowMs) {
        mBegins.removeIf(
                begin -> {
                    boolean due = begin.atMs() <= nowMs;
                    if (due) {
                        mScheduler.begun(begin.id(), nowMs);
                        mScheduler.ended(begin.id(), 10, nowMs);
                    }
                    return due;
                });
    }

    private record Begin(StartId id, long atMs) {}
}
