package org.filbertrudder.policy.limits;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.policy.VirtualSchedule;

/**
 * Simulates the instances of a region that send requests to one endpoint with a limit, on a virtual
 * clock, with delayed and lost messages, cuts, deaths and restarts.
 */
final class LimitedFleetSimulation {

    private static final EndpointId ENDPOINT = EndpointId.of("i-limited");
    private static final RegionId REGION = RegionId.of("r");
    private static final long TICK_MS = 100;
    private static final long MAX_MESSAGE_DELAY_MS = 60;
    private static final long MAX_SEND_DELAY_MS = 100;

    /** The time in which members are declared dead, from the first to the last instance. */
    private static final long MIN_DETECTION_MS = 3_500;

    private static final long MAX_DETECTION_MS = 5_500;

    /** The period of callers that come and go together, and the part of it without them. */
    private static final long BURST_PERIOD_MS = 20_000;

    private static final long BURST_PAUSE_MS = 15_000;

    /** The longest time until all instances know a member that has come back. */
    private static final long MAX_RETURN_MS = 1_000;

    private final Random mRandom;
    private final double mPerSecond;
    private final VirtualSchedule mSchedule = new VirtualSchedule();
    private final List<Instance> mInstances = new ArrayList<>();
    private final List<Long> mArrivalsMs = new ArrayList<>();
    private double mLossRate;
    private boolean mCut;
    private boolean mBursts;
    private int mMessages;
    private long mNextId = 1;

    LimitedFleetSimulation(long seed, int instances, double perSecond) {
        mRandom = new Random(seed);
        mPerSecond = perSecond;
        for (int i = 0; i < instances; i++) {
            mInstances.add(new Instance(i));
        }
        mInstances.forEach(Instance::start);
    }

    /** Loses this fraction of the messages from now on. */
    void setLossRate(double lossRate) {
        mLossRate = lossRate;
    }

    /** Lets all instances obtain permits all the time but have requests only now and then. */
    void setBursts() {
        mBursts = true;
    }

    /** Ends a random instance at the given time; it comes back later if told so. */
    void killAt(long timeMs, boolean restart) {
        mSchedule.add(
                timeMs,
                () -> {
                    Instance victim = mInstances.get(mRandom.nextInt(mInstances.size()));
                    victim.stop();
                    if (restart) {
                        mSchedule.add(mSchedule.nowMs() + between(500, 8_000), victim::start);
                    }
                });
    }

    /** Cuts the instances into two random groups for some time. */
    void cutAt(long timeMs, long durationMs) {
        mSchedule.add(
                timeMs,
                () -> {
                    mCut = true;
                    mInstances.forEach(instance -> instance.mGroup = mRandom.nextInt(2));
                    mInstances.forEach(
                            instance ->
                                    mInstances.stream()
                                            .filter(other -> other.mGroup != instance.mGroup)
                                            .forEach(instance::declareDeadLater));
                });
        mSchedule.add(
                timeMs + durationMs,
                () -> {
                    mCut = false;
                    mInstances.forEach(instance -> mInstances.forEach(instance::declareLiveLater));
                });
    }

    /** Runs the schedule until the given time. */
    void run(long untilMs) {
        mSchedule.run(untilMs);
    }

    /** Returns the number of messages that instances have sent to each other. */
    int messages() {
        return mMessages;
    }

    /** Returns the times at which requests arrived, in order. */
    List<Long> arrivalsMs() {
        List<Long> sorted = new ArrayList<>(mArrivalsMs);
        Collections.sort(sorted);
        return sorted;
    }

    private long between(long minMs, long maxMs) {
        return minMs + (long) (mRandom.nextDouble() * (maxMs - minMs));
    }

    private void send(Instance from, Instance to, Runnable action) {
        mMessages++;
        boolean cut = mCut && from.mGroup != to.mGroup;
        if (!cut && mRandom.nextDouble() >= mLossRate) {
            long life = to.mLife;
            mSchedule.add(
                    mSchedule.nowMs() + between(1, MAX_MESSAGE_DELAY_MS),
                    () -> {
                        if (to.mRunning && to.mLife == life) {
                            action.run();
                        }
                    });
        }
    }

    /** Simulates an instance, whose callers always have requests for the endpoint. */
    private final class Instance {

        private final int mIndex;
        private final List<MemberState> mStates = new ArrayList<>();
        private SendPermits mPermits;
        private SendSlots mSlots;
        private boolean mRunning;
        private long mLife;
        private int mGroup;

        Instance(int index) {
            mIndex = index;
        }

        void start() {
            mRunning = true;
            mLife++;
            mPermits = new SendPermits(mPerSecond);
            mSlots = new SendSlots();
            mStates.clear();
            for (int i = 0; i < mInstances.size(); i++) {
                mStates.add(
                        mInstances.get(i).mRunning || mSchedule.nowMs() == 0
                                ? MemberState.LIVE
                                : MemberState.DEAD);
            }
            mInstances.forEach(other -> other.declareLiveLater(this));
            long life = mLife;
            mSchedule.add(mSchedule.nowMs() + between(0, TICK_MS), () -> tick(life));
        }

        void stop() {
            mRunning = false;
            mLife++;
            mInstances.forEach(other -> other.declareDeadLater(this));
        }

        void declareDeadLater(Instance other) {
            long life = other.mLife;
            mSchedule.add(
                    mSchedule.nowMs() + between(MIN_DETECTION_MS, MAX_DETECTION_MS),
                    () -> {
                        boolean cut = mCut && other.mGroup != mGroup;
                        boolean gone = !other.mRunning && other.mLife == life;
                        if (cut || gone) {
                            mStates.set(other.mIndex, MemberState.DEAD);
                        }
                    });
        }

        void declareLiveLater(Instance other) {
            mSchedule.add(
                    mSchedule.nowMs() + between(0, MAX_RETURN_MS),
                    () -> {
                        if (other.mRunning && !(mCut && other.mGroup != mGroup)) {
                            mStates.set(other.mIndex, MemberState.LIVE);
                        }
                    });
        }

        private List<Member> members() {
            List<Member> members = new ArrayList<>();
            for (int i = 0; i < mStates.size(); i++) {
                members.add(
                        new Member(
                                mInstances.get(i).id(),
                                1,
                                REGION,
                                FailureDomainId.of("d"),
                                "127.0.0.1",
                                1,
                                2,
                                3,
                                i == mIndex ? MemberState.LIVE : mStates.get(i)));
            }
            return members;
        }

        private InstanceId id() {
            return InstanceId.of("edge-" + mIndex);
        }

        private Optional<Instance> scheduler() {
            return SchedulerSelection.scheduler(ENDPOINT, REGION, members())
                    .map(
                            member ->
                                    Integer.parseInt(
                                            member.id().value().substring("edge-".length())))
                    .map(mInstances::get);
        }

        private void tick(long life) {
            if (!mRunning || mLife != life) {
                return;
            }
            mSchedule.add(mSchedule.nowMs() + between(TICK_MS / 2, TICK_MS), () -> tick(life));
            mSlots.retainIf(endpoint -> scheduler().orElse(null) == this, mSchedule.nowMs());
            for (double demand = 0; demand <= mPerSecond * TICK_MS / 1_000; demand++) {
                mPermits.noteDemand(mSchedule.nowMs());
            }
            sendWhatIsPermitted();
            if (mPermits.shouldRequest(mSchedule.nowMs())) {
                long id = mNextId++;
                int wanted = mPermits.request(id, mSchedule.nowMs());
                Instance scheduler = scheduler().orElse(this);
                if (scheduler == this) {
                    answer(this, id, wanted);
                } else {
                    send(this, scheduler, () -> scheduler.answer(this, id, wanted));
                }
            }
        }

        private void answer(Instance requester, long id, int wanted) {
            if (scheduler().orElse(null) != this) {
                return;
            }
            double part = SchedulerSelection.part(REGION, members());
            SendSlots.Reservation reservation =
                    mSlots.reserve(
                            ENDPOINT, requester.id(), part * mPerSecond, wanted, mSchedule.nowMs());
            Runnable reply =
                    () ->
                            requester.mPermits.handleReply(
                                    id,
                                    reservation.count(),
                                    reservation.waitMs(),
                                    mSchedule.nowMs());
            if (requester == this) {
                reply.run();
            } else {
                send(this, requester, reply);
            }
        }

        private void sendWhatIsPermitted() {
            boolean idle = mBursts && mSchedule.nowMs() % BURST_PERIOD_MS < BURST_PAUSE_MS;
            while (!idle && mPermits.isAvailable(mSchedule.nowMs())) {
                mPermits.use();
                mArrivalsMs.add(mSchedule.nowMs() + between(1, MAX_SEND_DELAY_MS));
            }
        }
    }
}
