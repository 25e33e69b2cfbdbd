package org.filbertrudder.policy.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.stream.IntStream;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.policy.limits.LimitObservation;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the load of an endpoint that refuses connections for a time, on a virtual clock. */
public class ColdReturnTest {

    private static final long WARMUP_MS = 3_000;
    private static final double WARMUP_PER_SECOND = 2.9;
    private static final int MAX_IN_ONE_SECOND = (int) (WARMUP_PER_SECOND * 1.5 + 3);

    /** The longest time from a change of the registration until an instance knows of it. */
    private static final int MAX_LIST_DELAY_MS = 2_100;

    private static final int TICK_MS = 100;
    private static final int STEP_MS = 5;
    private static final int END_MS = 16_000;

    /** Lists seeds, numbers of instances and whether the endpoint restarts. */
    @DataProvider
    public Object[][] schedules() {
        List<Object[]> schedules = new ArrayList<>();
        for (int seed = 0; seed < 40; seed++) {
            for (int instances = 1; instances <= 4; instances++) {
                schedules.add(new Object[] {seed, instances, true});
                schedules.add(new Object[] {seed, instances, false});
            }
        }
        return schedules.toArray(new Object[0][]);
    }

    /** Guards against full load on an endpoint that returns cold under its id. */
    @Test(dataProvider = "schedules")
    public void limitsTheLoadOnlyIfTheEndpointMayHaveRestarted(
            int seed, int instanceCount, boolean restarts) {
        Schedule schedule = new Schedule(seed, restarts);
        List<Instance> instances = new ArrayList<>();
        for (int i = 0; i < instanceCount; i++) {
            instances.add(new Instance(schedule, i == 0));
        }
        for (long nowMs = 0; nowMs < END_MS; nowMs += STEP_MS) {
            for (Instance instance : instances) {
                instance.step(nowMs);
            }
        }

        if (restarts) {
            int most = schedule.maxInOneSecondWhileCold();
            assertTrue(most <= MAX_IN_ONE_SECOND, most + " requests in one second");
        }
        for (Instance instance : instances) {
            long latestMs =
                    schedule.mBackMs
                            + (restarts ? WARMUP_MS : RestartSuspicion.REGISTRATION_MS)
                            + MAX_LIST_DELAY_MS
                            + TICK_MS
                            + 1_000;
            assertTrue(instance.mUnlimitedMs <= latestMs, "unlimited " + instance.mUnlimitedMs);
        }
    }

    /** Guards against full load from an instance that starts while others suspect a restart. */
    @Test(dataProvider = "seeds")
    public void limitsTheLoadOfAnInstanceThatStartsMeanwhile(int seed) {
        Schedule schedule = new Schedule(seed, true);
        Instance witness = new Instance(schedule, true);
        Instance started = new Instance(schedule, false);
        long startMs = schedule.mDownMs + schedule.mRandom.nextInt((int) schedule.downForMs());
        started.mNextListMs = startMs;
        for (long nowMs = 0; nowMs < END_MS; nowMs += STEP_MS) {
            witness.step(nowMs);
            if (nowMs >= startMs) {
                started.stepAfterStart(nowMs, witness);
            }
        }

        int most = schedule.maxInOneSecondWhileCold();
        assertTrue(most <= MAX_IN_ONE_SECOND, most + " requests in one second");
        assertTrue(started.mUnlimitedMs > 0, "limited to the end");
    }

    /** Lists seeds. */
    @DataProvider
    public Object[][] seeds() {
        return IntStream.range(0, 200)
                .mapToObj(seed -> new Object[] {seed})
                .toArray(Object[][]::new);
    }

    /** The times of one schedule, and the requests that the endpoint received. */
    private static final class Schedule {

        private final Random mRandom;
        private final boolean mRestarts;
        private final long mDownMs;
        private final long mBackMs;
        private final List<Long> mArrivalsMs = new ArrayList<>();

        Schedule(int seed, boolean restarts) {
            mRandom = new Random(seed);
            mRestarts = restarts;
            mDownMs = 1_000 + mRandom.nextInt(2_000);
            mBackMs = mDownMs + 300 + mRandom.nextInt(5_000);
        }

        long downForMs() {
            return mBackMs - mDownMs;
        }

        boolean isDown(long nowMs) {
            return nowMs >= mDownMs && nowMs < mBackMs;
        }

        /** Returns the start of the process that the registration shows. */
        long startedMs(long asOfMs) {
            return mRestarts && asOfMs >= mBackMs ? mBackMs : 1;
        }

        /** Returns the most requests in one second while the restarted endpoint was cold. */
        int maxInOneSecondWhileCold() {
            List<Long> coldMs =
                    mArrivalsMs.stream()
                            .filter(atMs -> atMs >= mBackMs && atMs < mBackMs + WARMUP_MS)
                            .toList();
            long most = 0;
            for (long startMs : coldMs) {
                most =
                        Math.max(
                                most,
                                coldMs.stream()
                                        .filter(atMs -> atMs >= startMs && atMs < startMs + 1_000)
                                        .count());
            }
            return (int) most;
        }
    }

    /** An instance that sends a request whenever the endpoint seems to accept one. */
    private static final class Instance {

        private final Schedule mSchedule;
        private final boolean mIsWarmupOwner;
        private final EndpointState mState;
        private final long mTickOffsetMs;
        private long mNextListMs;
        private long mListAsOfMs;
        private long mColdUntilMs;
        private long mUnlimitedMs;

        Instance(Schedule schedule, boolean isWarmupOwner) {
            mSchedule = schedule;
            mIsWarmupOwner = isWarmupOwner;
            mState = new EndpointState(endpoint(), 0);
            mState.setProcessStartedMs(1);
            mState.setWarmupMs(WARMUP_MS);
            mTickOffsetMs = schedule.mRandom.nextInt(TICK_MS / STEP_MS) * STEP_MS;
        }

        private static Endpoint endpoint() {
            return Endpoint.of(
                    EndpointId.of("e"),
                    ServiceId.of("pool"),
                    RegionId.of("mtl"),
                    FailureDomainId.of("mtl-a"),
                    "127.0.0.1",
                    1,
                    64);
        }

        /** Reads its first list, learns what the other instance suspects, and goes on. */
        void stepAfterStart(long nowMs, Instance other) {
            if (nowMs >= mNextListMs) {
                readList(nowMs);
            }
            EndpointState state = other.mState;
            if (state.isRestartSuspected(nowMs)
                    && state.processStartedMs() == mState.processStartedMs()) {
                mState.adoptRestartSuspicion(
                        state.connectionRefusedMs().getAsLong(),
                        state.connectionAcceptedMs(),
                        mListAsOfMs);
                updateWarmup(nowMs);
            }
            step(nowMs);
        }

        void step(long nowMs) {
            if (nowMs >= mNextListMs) {
                readList(nowMs);
            }
            if (nowMs % TICK_MS == mTickOffsetMs) {
                tick(nowMs);
            }
            if (mSchedule.mRandom.nextInt(4) == 0 && mState.canAcceptRequest(nowMs)) {
                send(nowMs);
            }
        }

        private void readList(long nowMs) {
            int ageMs = mSchedule.mRandom.nextInt(MAX_LIST_DELAY_MS / 2);
            mListAsOfMs = Math.max(mListAsOfMs, nowMs - ageMs);
            mNextListMs = nowMs + 200 + mSchedule.mRandom.nextInt(MAX_LIST_DELAY_MS / 2 - 200);
            long startedMs = mSchedule.startedMs(mListAsOfMs);
            if (startedMs != mState.processStartedMs()) {
                mColdUntilMs = nowMs + WARMUP_MS;
            }
            mState.setProcessStartedMs(startedMs);
            updateWarmup(nowMs);
        }

        private void updateWarmup(long nowMs) {
            boolean cold = mColdUntilMs > nowMs || mState.isRestartSuspected(nowMs);
            int perSecond = cold && mIsWarmupOwner ? (int) WARMUP_PER_SECOND : 0;
            mState.setCold(mColdUntilMs, perSecond, nowMs);
        }

        private void tick(long nowMs) {
            mState.noteUnchangedRegistration(mListAsOfMs);
            if (mState.isConnectionProbeDue(nowMs)) {
                if (mSchedule.isDown(nowMs)) {
                    mState.connectionRefused(nowMs);
                } else {
                    mState.noteConnectionAccepted(nowMs);
                    updateWarmup(nowMs);
                }
            }
        }

        private void send(long nowMs) {
            if (mSchedule.isDown(nowMs)) {
                mState.connectionRefused(nowMs);
                return;
            }
            mState.requestStarted(false, nowMs);
            mState.requestSucceeded();
            mSchedule.mArrivalsMs.add(nowMs);
            if (nowMs > mSchedule.mBackMs && !mState.isCold(nowMs) && mUnlimitedMs == 0) {
                mUnlimitedMs = nowMs;
            }
        }
    }

    /** Lists the times at which the request was sent whose response arrives, and the result. */
    @DataProvider
    public Object[][] sendTimes() {
        return new Object[][] {{999, false}, {1_000, true}, {1_001, true}};
    }

    @Test(dataProvider = "sendTimes")
    public void responseToAnEarlierRequestShowsTheSameProcess(long sentMs, boolean suspected) {
        RestartSuspicion suspicion = new RestartSuspicion();
        suspicion.noteRefused(1_000);

        suspicion.noteResponse(sentMs);

        assertEquals(suspicion.isActive(WARMUP_MS, 1_100), suspected);
    }

    /** Lists limits, those stated later, and whether a restart is suspected then. */
    @DataProvider
    public Object[][] limitChanges() {
        return new Object[][] {
            {2.0, OptionalDouble.empty(), true},
            {2.0, OptionalDouble.of(5), true},
            {2.0, OptionalDouble.of(2), false},
            {2.0, OptionalDouble.of(0), false},
        };
    }

    @Test(dataProvider = "limitChanges")
    public void endpointThatRelaxesItsLimitMayHaveRestarted(
            double before, OptionalDouble after, boolean suspected) {
        Endpoint endpoint = Instance.endpoint();
        EndpointTable table = new EndpointTable();
        table.setEndpoints(List.of(endpoint), 0);
        EndpointState state = table.findById(endpoint.id()).orElseThrow();
        state.setWarmupMs(WARMUP_MS);
        table.recordLimit(
                endpoint.id(), new LimitObservation(OptionalDouble.of(before), 0, 10), 10);

        table.recordLimit(endpoint.id(), new LimitObservation(after, 5_000, 5_010), 5_010);

        assertEquals(state.isRestartSuspected(5_010), suspected);
        state.noteUnchangedRegistration(5_010 + RestartSuspicion.REGISTRATION_MS - 1);
        assertEquals(state.isRestartSuspected(6_000), suspected);
        state.noteUnchangedRegistration(5_010 + RestartSuspicion.REGISTRATION_MS);
        assertFalse(state.isRestartSuspected(6_000));
    }

    @Test
    public void endOfALimitDoesNotShowThatTheEndpointAcceptsConnections() {
        RestartSuspicion suspicion = new RestartSuspicion();
        suspicion.noteRefused(1_000);

        suspicion.noteLimitRelaxed(500, 900);

        assertTrue(suspicion.isRefusing());
    }

    @Test
    public void endpointThatRefusesConnectionsIsNotUsedUntilItAcceptsOne() {
        EndpointState state = new EndpointState(Instance.endpoint(), 0);
        state.connectionRefused(1_000);

        assertFalse(state.isUsable(60_000));
        state.noteConnectionAccepted(60_000);
        assertTrue(state.isUsable(60_000));
    }

    @Test
    public void suspicionEndsWithTheWarmupIfNoRegistrationCanBeRead() {
        RestartSuspicion suspicion = new RestartSuspicion();
        suspicion.noteRefused(1_000);
        suspicion.noteAccepted(2_000);

        assertTrue(suspicion.isActive(WARMUP_MS, 2_000 + WARMUP_MS - 1));
        assertFalse(suspicion.isActive(WARMUP_MS, 2_000 + WARMUP_MS));
    }
}
