package org.filbertrudder.policy.scheduling;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.AllowedRegions;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.policy.VirtualSchedule;
import org.filbertrudder.policy.routing.PromptDemand;
import org.filbertrudder.policy.routing.PromptPart;

/**
 * Simulates the instances and engines of a region whose reports are late and get lost, and checks
 * each pass of the scheduler.
 */
final class SimulatedRegion {

    private static final long DELAY_MS = 10;
    private static final double REPORT_LOSS = 0.1;
    private static final long MEMORY_TOKENS = 1_000_000;
    private static final double TOKENS_PER_MS = 40;

    final VirtualSchedule mTime = new VirtualSchedule();
    final Random mRandom;
    final List<Call> mCalls = new ArrayList<>();
    RegionScheduler mScheduler;
    BiConsumer<Call, StartDecision.Refuse> mOnRefused = (call, refuse) -> {};
    private final long mReportDelayMs;
    private final int mSlots;
    private final List<Instance> mInstances = new ArrayList<>();
    private final Map<EndpointId, Long> mReadUntilMs = new LinkedHashMap<>();
    private final Map<String, Integer> mRunning = new HashMap<>();
    private final Map<StartId, Call> mSubmitted = new HashMap<>();
    private final Set<StartId> mDecided = new HashSet<>();
    private int mGeneration;

    SimulatedRegion(long seed, int instances, long reportDelayMs, int engines, int slots) {
        mRandom = new Random(seed);
        mReportDelayMs = reportDelayMs;
        mSlots = slots;
        for (int i = 0; i < engines; i++) {
            mReadUntilMs.put(EndpointId.of("engine-" + i), 0L);
        }
        mScheduler = newScheduler();
        for (int i = 0; i < instances; i++) {
            Instance instance = new Instance(InstanceId.of("instance-" + i));
            mInstances.add(instance);
            mTime.add(mRandom.nextInt(1_000), instance::reportRegularly);
        }
        mTime.add(0, this::pass);
    }

    private RegionScheduler newScheduler() {
        RegionId own = RegionId.of("north");
        RegionScheduler scheduler =
                new RegionScheduler(ServiceId.of("chat"), own, new SpareRoom(own, List.of(), 30));
        scheduler.setEngines(
                mReadUntilMs.keySet().stream()
                        .map(id -> new EngineDescription(id, mSlots, MEMORY_TOKENS, true, false))
                        .toList(),
                mTime.nowMs());
        return scheduler;
    }

    /** Adds a request that arrives at a random instance. */
    Call call(long atMs, String account, int rank, PromptDemand prompt, long waitLimitMs) {
        Instance instance = mInstances.get(mRandom.nextInt(mInstances.size()));
        Call call =
                new Call(
                        new StartId(instance.mId, mCalls.size()),
                        instance,
                        AccountId.of(account),
                        rank,
                        prompt,
                        atMs,
                        waitLimitMs);
        mCalls.add(call);
        mTime.add(atMs, () -> call.mInstance.whenAwake(() -> submit(call)));
        return call;
    }

    /** Sends a request again; one that returns as told has the place of its first arrival. */
    Call retry(Call call, long delayMs, boolean asTold) {
        long atMs = mTime.nowMs() + delayMs;
        Call retry = call(atMs, call.mAccount.value(), call.mRank, call.mPrompt, call.mWaitLimitMs);
        retry.mDigest = call.mDigest;
        retry.mPlaceMs = asTold ? call.mPlaceMs : atMs;
        return retry;
    }

    static PromptDemand prompt(String sharedPart, long tokens, long outputTokens) {
        long sharedTokens = sharedPart.isEmpty() ? 0 : tokens / 2;
        return new PromptDemand(
                List.of(
                        new PromptPart(sharedPart, sharedTokens),
                        new PromptPart(sharedPart + "/own", tokens - sharedTokens)),
                tokens,
                outputTokens);
    }

    void kill() {
        Instance instance = mInstances.get(mRandom.nextInt(mInstances.size()));
        instance.mKilled = true;
        mCalls.stream().filter(call -> call.mInstance == instance).forEach(Call::end);
        mTime.add(mTime.nowMs() + 3_000, () -> mScheduler.dropSender(instance.mId));
    }

    void freeze(long durationMs) {
        mInstances.get(mRandom.nextInt(mInstances.size())).mFrozenUntilMs =
                mTime.nowMs() + durationMs;
    }

    void changeScheduler() {
        mGeneration++;
        mScheduler = newScheduler();
        mSubmitted.clear();
        mDecided.clear();
        mInstances.forEach(instance -> instance.whenAwake(instance::sendAllAgain));
    }

    private void submit(Call call) {
        if (call.mState == State.WAITING) {
            int generation = mGeneration;
            call.mInstance.send(
                    DELAY_MS,
                    () -> {
                        if (generation == mGeneration) {
                            call.mSubmittedMs = mTime.nowMs();
                            mSubmitted.put(call.mId, call);
                            mScheduler.submit(call.request(mTime.nowMs()), mTime.nowMs());
                        }
                    });
        }
    }

    private void pass() {
        long nowMs = mTime.nowMs();
        List<StartDecision> decisions = mScheduler.decide(nowMs);
        for (StartDecision decision : decisions) {
            Call call = mSubmitted.get(decision.id());
            assertTrue(mDecided.add(decision.id()), "second decision on " + call.mId);
            long waitedMs = nowMs - call.mSubmittedMs;
            long limitMs = Math.max(StartPass.INTERVAL_MS, call.mSubmittedLimitMs);
            assertTrue(waitedMs <= limitMs, "decided after its wait limit");
            if (decision instanceof StartDecision.Refuse refuse) {
                checkRefusal(call, refuse);
            } else {
                checkOvertaking(call);
            }
            int generation = mGeneration;
            mTime.add(
                    nowMs + DELAY_MS,
                    () -> call.mInstance.whenAwake(() -> apply(call, decision, generation)));
        }
        mTime.add(nowMs + StartPass.INTERVAL_MS, this::pass);
    }

    private void checkRefusal(Call call, StartDecision.Refuse refuse) {
        for (ScheduledEngine engine : mScheduler.engines().engines()) {
            assertFalse(
                    refuse.reason() == RefusalReason.NO_ROOM_IN_TIME
                            && engine.room().canStart(call.mPrompt, mTime.nowMs()),
                    "refused although " + engine.id() + " could start it");
        }
    }

    private void checkOvertaking(Call started) {
        for (WaitingStart waiting : mScheduler.queue().inOrder()) {
            Call other = mSubmitted.get(waiting.id());
            double boundMs = Math.max(waiting.keyMs(), other.mArrivalMs + 0.4 * Call.GOAL_MS);
            assertTrue(started.mPlaceMs <= boundMs, "overtaken beyond the stated bound");
        }
    }

    private void apply(Call call, StartDecision decision, int generation) {
        if (call.mState != State.WAITING) {
            if (generation == mGeneration) {
                call.mInstance.send(DELAY_MS, () -> mScheduler.cancel(call.mId));
            }
        } else if (decision instanceof StartDecision.Start start) {
            call.run(start.endpoint(), generation);
        } else {
            call.mState = State.DONE;
            mOnRefused.accept(call, (StartDecision.Refuse) decision);
        }
    }

    /** Checks that every request of a living instance got its decision. */
    void checkAllDecided() {
        assertTrue(mScheduler.queue().size() == 0, "requests still wait");
        for (Call call : mCalls) {
            assertFalse(call.mState == State.WAITING, "no decision on " + call.mId);
        }
    }

    private enum State {
        WAITING,
        RUNNING,
        DONE
    }

    /** Simulates an instance; what it sends arrives in order. */
    private final class Instance {

        private final InstanceId mId;
        private boolean mKilled;
        private long mFrozenUntilMs;
        private long mLastDeliveryMs;

        Instance(InstanceId id) {
            mId = id;
        }

        void whenAwake(Runnable action) {
            if (mFrozenUntilMs > mTime.nowMs()) {
                mTime.add(mFrozenUntilMs, () -> whenAwake(action));
            } else if (!mKilled) {
                action.run();
            }
        }

        void send(long delayMs, Runnable action) {
            mLastDeliveryMs = Math.max(mLastDeliveryMs, mTime.nowMs() + delayMs);
            mTime.add(mLastDeliveryMs, action);
        }

        void report(Runnable action) {
            int generation = mGeneration;
            if (mRandom.nextDouble() >= REPORT_LOSS) {
                mTime.add(
                        mTime.nowMs() + mReportDelayMs,
                        () -> {
                            if (generation == mGeneration) {
                                action.run();
                            }
                        });
            }
        }

        void reportRegularly() {
            whenAwake(() -> report(fullReport()));
            mTime.add(mTime.nowMs() + 1_000, this::reportRegularly);
        }

        void sendAllAgain() {
            send(DELAY_MS, fullReport());
            mCalls.stream()
                    .filter(call -> call.mInstance == this && call.mArrivalMs <= mTime.nowMs())
                    .forEach(SimulatedRegion.this::submit);
        }

        private Runnable fullReport() {
            List<OpenStart> open =
                    mCalls.stream()
                            .filter(c -> c.mInstance == this && c.mState == State.RUNNING)
                            .map(Call::openStart)
                            .toList();
            return () -> mScheduler.replaceOpen(mId, open, mTime.nowMs());
        }
    }

    /** Represents a request of a caller. */
    final class Call {

        private static final long GOAL_MS = 1_500;
        private static final long LIFETIME_MS = 30_000;
        private static final double MS_PER_TOKEN = 10;

        final StartId mId;
        final AccountId mAccount;
        final int mRank;
        final PromptDemand mPrompt;
        final long mArrivalMs;
        long mPlaceMs;
        long mDigest;
        long mStartedMs = -1;
        private final Instance mInstance;
        private final long mWaitLimitMs;
        private State mState = State.WAITING;
        private long mSubmittedMs;
        private long mSubmittedLimitMs;
        private EndpointId mEndpoint;
        private boolean mBegun;
        private String mSlotOf;

        Call(
                StartId id,
                Instance instance,
                AccountId account,
                int rank,
                PromptDemand prompt,
                long arrivalMs,
                long waitLimitMs) {
            mId = id;
            mInstance = instance;
            mAccount = account;
            mRank = rank;
            mPrompt = prompt;
            mArrivalMs = arrivalMs;
            mPlaceMs = arrivalMs;
            mDigest = id.number();
            mWaitLimitMs = waitLimitMs;
        }

        boolean isServed() {
            return mStartedMs >= 0;
        }

        StartRequest request(long nowMs) {
            long ageMs = nowMs - mArrivalMs;
            mSubmittedLimitMs = Math.max(0, mWaitLimitMs - ageMs);
            return new StartRequest(
                    mId,
                    mAccount,
                    mRank,
                    mPrompt,
                    AllowedRegions.any(),
                    Set.of(),
                    false,
                    ageMs,
                    GOAL_MS,
                    mSubmittedLimitMs,
                    LIFETIME_MS - ageMs,
                    mDigest);
        }

        OpenStart openStart() {
            long remainingMs = mArrivalMs + LIFETIME_MS - mTime.nowMs();
            return new OpenStart(mId, mEndpoint, mPrompt, mBegun, remainingMs);
        }

        void run(EndpointId endpoint, int generation) {
            mState = State.RUNNING;
            mStartedMs = mTime.nowMs();
            mEndpoint = endpoint;
            mSlotOf = generation + " " + endpoint;
            int running = mRunning.merge(mSlotOf, 1, Integer::sum);
            assertTrue(running <= mSlots, "more starts than slots of " + endpoint);
            double readingMs = mPrompt.promptTokens() / TOKENS_PER_MS;
            long begunMs =
                    Math.max(mTime.nowMs(), mReadUntilMs.get(endpoint)) + (long) readingMs + 1;
            mReadUntilMs.put(endpoint, begunMs);
            mTime.add(begunMs, () -> mInstance.whenAwake(this::begin));
            long endMs = begunMs + (long) (mPrompt.outputTokens() * MS_PER_TOKEN);
            mTime.add(endMs, () -> mInstance.whenAwake(this::endAndReport));
        }

        private void begin() {
            mBegun = true;
            mInstance.report(() -> mScheduler.begun(mId, mTime.nowMs()));
        }

        private void endAndReport() {
            end();
            mInstance.report(() -> mScheduler.ended(mId, mPrompt.outputTokens(), mTime.nowMs()));
        }

        private void end() {
            if (mState == State.RUNNING) {
                mRunning.merge(mSlotOf, -1, Integer::sum);
            }
            mState = State.DONE;
        }
    }
}
