package org.filbertrudder.policy.freshness;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Simulates the instances of one failure domain that follow the endpoint list, on a virtual clock
 * with a seeded schedule of cuts, lost answers, store outages and endpoints that leave.
 */
final class EndpointListSimulation {

    static final long DRAIN_MS = 4_000;
    static final long HEARTBEAT_MS = 1_200;

    /** The time without disruption after which an instance must respect a change. */
    private static final long CONTACT_MS = 6_000;

    /** The time from the decision to the arrival of a request at its endpoint. */
    private static final long SEND_MS = 200;

    /** From this duration on, more than one read of every instance fails. */
    private static final long CERTAIN_OUTAGE_MS = 4_500;

    private static final long HEARTBEATS_TO_EXPIRE = 3;
    private static final long CALL_TIMEOUT_MS = 1_500;
    private static final long PEER_RETRY_MS = 500;
    private static final long PEER_AGE_MS = 2_500;
    private static final int ENDPOINTS = 12;
    private static final long ROUND_MS = 26_000;
    private static final int ROUNDS = 4;

    private final RefreshSchedule mSchedule = RefreshSchedule.forBound(DRAIN_MS);
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final List<Instance> mInstances = new ArrayList<>();
    private final List<SimulatedEndpoint> mEndpoints = new ArrayList<>();
    private final Map<String, SimulatedEndpoint> mById = new HashMap<>();
    private final List<String> mViolations = new ArrayList<>();
    private final Random mRandom;
    private long mNowMs;
    private long mEventNumber;
    private long mOutageFromMs = Long.MAX_VALUE / 2;
    private long mOutageEndMs = Long.MIN_VALUE / 2;
    private int mKept;

    EndpointListSimulation(long seed, int instances) {
        mRandom = new Random(seed);
        for (int i = 0; i < ENDPOINTS; i++) {
            SimulatedEndpoint endpoint = new SimulatedEndpoint("e" + i);
            mEndpoints.add(endpoint);
            mById.put(endpoint.mId, endpoint);
            at(mRandom.nextLong(HEARTBEAT_MS), endpoint::beat);
        }
        for (int i = 0; i < instances; i++) {
            Instance instance = new Instance(i == 0);
            mInstances.add(instance);
            at(HEARTBEAT_MS + mRandom.nextLong(RefreshSchedule.TICK_MS), instance::tick);
        }
    }

    private void at(long timeMs, Runnable action) {
        mEvents.add(new Event(timeMs, mEventNumber++, action));
    }

    private void after(long delayMs, Runnable action) {
        at(mNowMs + delayMs, action);
    }

    /** Runs rounds in which the relay, or in every other one the store, is out of reach. */
    List<String> run() {
        for (int round = 0; round < ROUNDS; round++) {
            long startMs = 8_000 + round * ROUND_MS;
            long durationMs = 1_500 + mRandom.nextLong(7_000);
            boolean isOutage = round % 2 == 1;
            at(startMs, isOutage ? () -> beginOutage(durationMs) : () -> cutRelay(durationMs));
            if (!isOutage) {
                for (int i = 0; i < 2; i++) {
                    SimulatedEndpoint leaving = mEndpoints.get(2 * round + i);
                    at(startMs + mRandom.nextLong(durationMs + 2_000), leaving::leave);
                }
                Instance follower = mInstances.get(mInstances.size() - 1);
                at(startMs + mRandom.nextLong(durationMs), () -> follower.mLosesAnswer = true);
            }
        }
        while (mNowMs < ROUNDS * ROUND_MS + 8_000) {
            Event event = mEvents.remove();
            mNowMs = event.timeMs;
            event.action.run();
        }
        return mViolations;
    }

    /** Returns how often an instance kept a live endpoint whose registration had expired. */
    int kept() {
        return mKept;
    }

    private void cutRelay(long durationMs) {
        mInstances.get(0).mCutUntilMs = mNowMs + durationMs;
        mInstances.get(0).mIsCutSilent = mRandom.nextBoolean();
    }

    private void beginOutage(long durationMs) {
        mOutageFromMs = mNowMs;
        mOutageEndMs = mNowMs + durationMs;
        mInstances.forEach(instance -> instance.mIsCutSilent = mRandom.nextBoolean());
    }

    private boolean isStoreOut() {
        return mNowMs >= mOutageFromMs && mNowMs < mOutageEndMs;
    }

    private boolean isStoreStable() {
        return mNowMs < mOutageFromMs || mNowMs >= mOutageEndMs + CONTACT_MS;
    }

    private Set<String> registered() {
        Set<String> registered = new HashSet<>();
        mEndpoints.stream()
                .filter(SimulatedEndpoint::isRegistered)
                .forEach(endpoint -> registered.add(endpoint.mId));
        return registered;
    }

    private record Event(long timeMs, long number, Runnable action) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            return timeMs == other.timeMs
                    ? Long.compare(number, other.number)
                    : Long.compare(timeMs, other.timeMs);
        }
    }

    /** An endpoint whose registration expires in silence, also while the store is out. */
    private final class SimulatedEndpoint {

        private final String mId;
        private long mLastBeatMs = Long.MIN_VALUE / 2;
        private long mLeftMs = Long.MAX_VALUE / 2;

        SimulatedEndpoint(String id) {
            mId = id;
        }

        void beat() {
            if (!isStoreOut()) {
                mLastBeatMs = mNowMs;
            }
            after(HEARTBEAT_MS - 50 + mRandom.nextLong(100), this::beat);
        }

        void leave() {
            mLeftMs = mNowMs;
        }

        boolean hasLeft() {
            return mNowMs >= mLeftMs;
        }

        boolean isRegistered() {
            return !hasLeft() && mNowMs - mLastBeatMs < HEARTBEATS_TO_EXPIRE * HEARTBEAT_MS;
        }
    }

    /** An instance whose first one in the list is the relay of all others. */
    private final class Instance {

        private final boolean mIsRelay;
        private final ReregistrationWindow mWindow =
                new ReregistrationWindow(mSchedule, HEARTBEAT_MS, DRAIN_MS - 500);
        private final EndpointListCopy mCopy = new EndpointListCopy(mSchedule, mWindow);
        private final Set<String> mUsed = new HashSet<>();
        private Set<String> mListed = Set.of();
        private long mCutUntilMs = Long.MIN_VALUE / 2;
        private boolean mIsCutSilent;
        private boolean mLosesAnswer;
        private long mNextRelayRequestMs;
        private long mNextPeerRequestMs;

        Instance(boolean isRelay) {
            mIsRelay = isRelay;
        }

        void tick() {
            expire();
            check();
            mCopy.beginReadIfDue(mIsRelay, mNowMs).ifPresent(this::read);
            if (!mIsRelay && mNowMs >= mNextRelayRequestMs) {
                mNextRelayRequestMs = mNowMs + mSchedule.followerIntervalMs();
                ask(mInstances.get(0));
            }
            boolean asksPeers = mCopy.ageMs(mNowMs) > PEER_AGE_MS || mWindow.hasFailedReads();
            if (asksPeers && mNowMs >= mNextPeerRequestMs) {
                mNextPeerRequestMs = mNowMs + PEER_RETRY_MS;
                ask(mInstances.get(mRandom.nextInt(mInstances.size())));
                ask(mInstances.get(mRandom.nextInt(mInstances.size())));
            }
            after(RefreshSchedule.TICK_MS, this::tick);
        }

        private void read(EndpointListCopy.Read read) {
            boolean fails = mNowMs < mCutUntilMs || isStoreOut();
            if (fails || mLosesAnswer) {
                boolean isSilent = mIsCutSilent || mLosesAnswer;
                mLosesAnswer = false;
                long tookMs = isSilent ? CALL_TIMEOUT_MS : 10;
                after(tookMs, () -> mCopy.noteFailure(read, mNowMs));
                return;
            }
            long wayMs = 4 + mRandom.nextLong(80);
            after(
                    wayMs,
                    () -> {
                        Set<String> listed = registered();
                        after(
                                wayMs,
                                () -> {
                                    if (mCopy.noteAnswer(read)) {
                                        apply(listed, read.requestedMs());
                                    }
                                });
                    });
        }

        private void ask(Instance peer) {
            long requestedMs = mNowMs;
            after(
                    2 + mRandom.nextLong(40),
                    () -> {
                        long ageMs = peer.mCopy.ageMs(mNowMs);
                        Set<String> listed = peer.mListed;
                        after(2 + mRandom.nextLong(40), () -> apply(listed, ageMs, requestedMs));
                    });
        }

        private void apply(Set<String> listed, long ageMs, long requestedMs) {
            if (mCopy.isNewer(ageMs, requestedMs)) {
                apply(listed, requestedMs - ageMs);
            }
        }

        private void apply(Set<String> listed, long asOfMs) {
            mCopy.noteComplete(asOfMs, mNowMs);
            mListed = listed;
            mUsed.addAll(listed);
            expire();
            if (mUsed.size() > listed.size()) {
                mKept++;
            }
        }

        private void expire() {
            if (!mWindow.isOpen(mNowMs)) {
                mUsed.retainAll(mListed);
            }
        }

        private void check() {
            boolean isInTouch = isStoreStable() && mNowMs >= mCutUntilMs + CONTACT_MS;
            for (String id : mUsed) {
                boolean isLate = mNowMs + SEND_MS > mById.get(id).mLeftMs + DRAIN_MS;
                if (isInTouch && isLate) {
                    mViolations.add("at " + mNowMs + " " + id + " is used though it has left");
                }
            }
            boolean isAfterOutage =
                    mNowMs >= mOutageEndMs
                            && mNowMs < mOutageEndMs + CONTACT_MS
                            && mOutageEndMs - mOutageFromMs >= CERTAIN_OUTAGE_MS;
            for (SimulatedEndpoint endpoint : mEndpoints) {
                if (isAfterOutage && !endpoint.hasLeft() && !mUsed.contains(endpoint.mId)) {
                    mViolations.add("at " + mNowMs + " " + endpoint.mId + " is not used");
                }
            }
        }
    }
}
