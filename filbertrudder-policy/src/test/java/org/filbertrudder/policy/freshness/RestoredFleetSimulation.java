package org.filbertrudder.policy.freshness;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.StoreEra;

/**
 * Plays a seeded schedule of several instances on a virtual clock, with a store that returns from
 * copies again and again, cuts, lost messages, deaths and starts, and checks the bounds of
 * docs/PROOFS.md.
 */
final class RestoredFleetSimulation {

    /** The time within which a withdrawn key must stop working, in milliseconds. */
    private static final long KEY_WITHDRAWAL_MS = 5_000;

    private static final long MAX_STATE_AGE_MS = 4_500;
    private static final long MAX_CLOCK_GAP_MS = 250;

    /** The time within which a version must be in force at instances in touch, in milliseconds. */
    private static final long CONFIGURATION_MS = 4_000;

    private static final long CONTACT_MS = 6_000;
    private static final long READ_INTERVAL_MS = 900;
    private static final long PEER_INTERVAL_MS = 500;
    private static final long DURATION_MS = 90_000;
    private static final long STEP_MS = 20;
    private static final List<FailureDomainId> DOMAINS =
            List.of(FailureDomainId.of("a"), FailureDomainId.of("b"));

    private final Random mRandom;
    private final SimulatedStore mStore = new SimulatedStore();
    private final List<Instance> mInstances = new ArrayList<>();
    private final PriorityQueue<Delivery> mDeliveries =
            new PriorityQueue<>(
                    Comparator.comparingLong(Delivery::atMs).thenComparingLong(Delivery::order));
    private final List<Acknowledgement> mAcknowledgements = new ArrayList<>();
    private final List<String> mViolations = new ArrayList<>();
    private long mNextOrder;
    private long mNowMs;
    private long mStoreDownUntilMs = -1;
    private long mWriteAgainMs = Long.MAX_VALUE;
    private long mDisturbedMs = -CONTACT_MS;
    private long mLossyUntilMs;
    private long mNextWriteMs = 500;
    private long mNextFaultMs = 3_000;

    RestoredFleetSimulation(long seed, int instances) {
        mRandom = new Random(seed);
        mStore.writeVersion();
        mAcknowledgements.add(new Acknowledgement(1, 0));
        for (int i = 0; i < instances; i++) {
            mInstances.add(new Instance());
        }
    }

    private record Acknowledgement(long version, long atMs) {}

    private record Delivery(long atMs, long order, Runnable action) {}

    /** What a store or a peer says about the state, at the moment at which it says it. */
    private record Statement(
            StorePosition position,
            StoreEra era,
            long eraAgeMs,
            long ageMs,
            Map<FailureDomainId, StoreEra> evacuations) {}

    /** Runs the schedule and returns descriptions of what broke a bound. */
    List<String> run() {
        while (mNowMs < DURATION_MS && mViolations.size() < 3) {
            mNowMs += STEP_MS;
            while (!mDeliveries.isEmpty() && mDeliveries.peek().atMs() <= mNowMs) {
                mDeliveries.poll().action().run();
            }
            operate();
            mInstances.forEach(Instance::tick);
            mInstances.forEach(Instance::check);
        }
        return mViolations;
    }

    private boolean isStoreUp() {
        return mNowMs >= mStoreDownUntilMs;
    }

    /** Lets the operator write and causes the faults that are due. */
    private void operate() {
        if (mNowMs >= mWriteAgainMs) {
            mStore.writeAgain();
            mWriteAgainMs = Long.MAX_VALUE;
            mDisturbedMs = mNowMs;
        }
        if (mNowMs >= mNextWriteMs && isStoreUp() && mStore.isComplete()) {
            mNextWriteMs = mNowMs + 300 + mRandom.nextInt(4_000);
            if (mRandom.nextInt(4) == 0) {
                changeEvacuation(DOMAINS.get(mRandom.nextInt(DOMAINS.size())));
            } else {
                mStore.writeVersion();
                mAcknowledgements.add(new Acknowledgement(mStore.acknowledged(), mNowMs));
            }
        }
        if (mNowMs >= mNextFaultMs) {
            mNextFaultMs = mNowMs + 500 + mRandom.nextInt(12_000);
            causeFault();
        }
    }

    /** Evacuates a domain or ends that, but not again before all instances have seen the end. */
    private void changeEvacuation(FailureDomainId domain) {
        boolean isKnown =
                mInstances.stream()
                        .anyMatch(each -> each.mTracker.evacuations().containsKey(domain));
        if (mStore.evacuated().contains(domain)) {
            mStore.setEvacuated(domain, false);
        } else if (!isKnown) {
            mStore.setEvacuated(domain, true);
        }
    }

    private void causeFault() {
        Instance instance = mInstances.get(mRandom.nextInt(mInstances.size()));
        switch (mRandom.nextInt(6)) {
            case 0, 1 -> loseStore();
            case 2 -> instance.mCutUntilMs = mNowMs + mRandom.nextInt(8_000);
            case 3 -> mLossyUntilMs = mNowMs + mRandom.nextInt(6_000);
            case 4 -> instance.die(mNowMs + 500 + mRandom.nextInt(3_000));
            default ->
                    mInstances.stream()
                            .filter(each -> mRandom.nextInt(10) < 6)
                            .forEach(each -> each.die(mNowMs + 500 + mRandom.nextInt(3_000)));
        }
    }

    private void loseStore() {
        mStoreDownUntilMs = mNowMs + 100 + mRandom.nextInt(3_000);
        mStore.restore(mRandom.nextInt(5));
        mWriteAgainMs =
                mStoreDownUntilMs
                        + mRandom.nextInt((int) OperatorStateTracker.CONFIRMATION_DELAY_MS / 2);
        mDisturbedMs = mWriteAgainMs;
    }

    private void deliver(Runnable action) {
        boolean isLost = mNowMs < mLossyUntilMs && mRandom.nextInt(5) == 0;
        if (!isLost) {
            long atMs = mNowMs + 5 + mRandom.nextInt(200);
            mDeliveries.add(new Delivery(atMs, mNextOrder++, action));
        }
    }

    private long newestAcknowledgedBefore(long timeMs) {
        return mAcknowledgements.stream()
                .filter(each -> each.atMs() < timeMs)
                .mapToLong(Acknowledgement::version)
                .max()
                .orElse(0);
    }

    /** An instance that reads the store and asks its peers as gateway instances do. */
    private final class Instance {

        private OperatorStateTracker mTracker;
        private PeerConsultation mConsultation;
        private StateFreshness mFreshness;
        private Set<FailureDomainId> mWanted;
        private ClockReading mPendingConfirmation;
        private long mLife;
        private long mStartMs;
        private long mCutUntilMs;
        private long mNextReadMs;
        private long mNextPeerMs;
        private long mRequestId;
        private long mLastVersion;

        /**
         * Whether this instance has read a state that lacked nothing, or heard from one that had.
         * One that starts while something is missing and reaches no such instance cannot know.
         */
        private boolean mIsInformed;

        Instance() {
            start(0);
        }

        private void start(long atMs) {
            mTracker = new OperatorStateTracker();
            mConsultation = new PeerConsultation();
            mFreshness = new StateFreshness(MAX_STATE_AGE_MS, MAX_CLOCK_GAP_MS);
            mWanted = Set.of();
            mPendingConfirmation = null;
            mLife++;
            mStartMs = atMs;
            mNextReadMs = atMs;
            mNextPeerMs = atMs;
            mLastVersion = 0;
            mIsInformed = false;
        }

        void die(long startMs) {
            start(startMs);
        }

        private boolean isAlive() {
            return mNowMs >= mStartMs;
        }

        private boolean isCut() {
            return mNowMs < mCutUntilMs;
        }

        private ClockReading now() {
            return new ClockReading(mNowMs, mNowMs);
        }

        void tick() {
            if (!isAlive() || isCut()) {
                return;
            }
            if (mConsultation.checkEnd(mInstances.size() > 1, mNowMs)) {
                confirmPending();
            }
            if (mNowMs >= mNextReadMs) {
                mNextReadMs = mNowMs + READ_INTERVAL_MS;
                readStore();
            }
            boolean asks = !mConsultation.hasEnded() || mTracker.isSettling(mNowMs);
            if (mNowMs >= mNextPeerMs && (asks || mFreshness.ageMs(now()) > 2_500)) {
                mNextPeerMs = mNowMs + PEER_INTERVAL_MS;
                askPeers();
            }
        }

        private void readStore() {
            ClockReading requestedAt = now();
            long life = mLife;
            deliver(
                    () -> {
                        if (isStoreUp()) {
                            Statement statement =
                                    new Statement(
                                            mStore.position(),
                                            mStore.era(),
                                            -1,
                                            0,
                                            mStore.evacuations().stream()
                                                    .collect(
                                                            Collectors.toMap(
                                                                    domain -> domain,
                                                                    domain -> mStore.era())));
                            boolean isComplete = mStore.isComplete();
                            deliver(() -> handleStore(statement, requestedAt, life, isComplete));
                        }
                    });
        }

        private void handleStore(
                Statement statement, ClockReading requestedAt, long life, boolean isComplete) {
            if (life != mLife || isCut()) {
                return;
            }
            mIsInformed |= isComplete;
            follow(statement.position());
            boolean confirms = mTracker.confirms(statement.position(), requestedAt.steadyMs());
            updateEvacuations(statement, requestedAt);
            mConsultation.noteStoreRead(mNowMs);
            if (confirms) {
                confirm(requestedAt);
            }
        }

        private void follow(StorePosition position) {
            boolean isNewer =
                    mTracker.offer(position, true, mNowMs) == OperatorStateTracker.Verdict.NEWER;
            if (isNewer) {
                mPendingConfirmation = null;
            }
        }

        private void updateEvacuations(Statement statement, ClockReading asOf) {
            mTracker.updateEvacuations(
                    statement.era(), statement.evacuations(), asOf.steadyMs(), mNowMs);
        }

        private void confirm(ClockReading asOf) {
            if (mConsultation.hasEnded()) {
                mFreshness.confirm(asOf, now());
            } else {
                mPendingConfirmation = asOf;
            }
        }

        private void confirmPending() {
            if (mPendingConfirmation != null) {
                confirm(mPendingConfirmation);
            }
        }

        private void askPeers() {
            List<Instance> peers = new ArrayList<>(mInstances);
            peers.remove(this);
            peers.removeIf(peer -> !peer.isAlive());
            long id = ++mRequestId;
            int asked = Math.min(PeerConsultation.PEERS, peers.size());
            mConsultation.begin(id, asked);
            ClockReading requestedAt = now();
            long life = mLife;
            for (int i = 0; i < asked; i++) {
                Instance peer = peers.remove(mRandom.nextInt(peers.size()));
                deliver(() -> peer.answer(this, id, requestedAt, life));
            }
        }

        private void answer(Instance to, long id, ClockReading requestedAt, long life) {
            if (!isAlive() || isCut()) {
                return;
            }
            boolean isFresh = mFreshness.isFresh(now());
            Statement statement =
                    new Statement(
                            mTracker.position(),
                            mTracker.era(),
                            mTracker.eraAgeMs(mNowMs),
                            isFresh ? mFreshness.ageMs(now()) : -1,
                            mTracker.evacuations());
            boolean isInformed = mIsInformed;
            deliver(() -> to.handlePeer(statement, id, requestedAt, life, isInformed));
        }

        private void handlePeer(
                Statement statement,
                long id,
                ClockReading requestedAt,
                long life,
                boolean isInformed) {
            if (life != mLife || isCut()) {
                return;
            }
            mIsInformed |= isInformed;
            if (statement.eraAgeMs() < 0) {
                mTracker.noteEra(statement.era(), mNowMs);
            } else {
                mTracker.noteEraAge(statement.era(), statement.eraAgeMs(), mNowMs);
            }
            long known = mTracker.position().version();
            if (statement.position().version() >= known) {
                follow(statement.position());
                long asOfMs = requestedAt.steadyMs() - statement.ageMs();
                boolean isTrusted = mTracker.trusts(statement.era(), statement.eraAgeMs(), asOfMs);
                if (statement.ageMs() >= 0 && isTrusted) {
                    ClockReading asOf = new ClockReading(asOfMs, asOfMs);
                    updateEvacuations(statement, asOf);
                    confirm(asOf);
                }
            }
            boolean knowsState = statement.ageMs() >= 0 || statement.position().version() > known;
            if (mConsultation.handleReply(id, knowsState)) {
                confirmPending();
            }
        }

        void check() {
            if (!isAlive()) {
                return;
            }
            long version = mTracker.position().version();
            if (version < mLastVersion) {
                report("went back from " + mLastVersion + " to " + version);
            }
            mLastVersion = version;
            long withdrawn = newestAcknowledgedBefore(mNowMs - KEY_WITHDRAWAL_MS);
            if (mFreshness.isFresh(now()) && version < withdrawn && mIsInformed) {
                report("trusts keys of version " + version + ", acknowledged is " + withdrawn);
            }
            checkEvacuations();
            boolean inTouch =
                    mNowMs > mStartMs + CONTACT_MS
                            && mNowMs > mCutUntilMs + CONTACT_MS
                            && mNowMs > mLossyUntilMs + CONTACT_MS
                            && mNowMs > mDisturbedMs + CONTACT_MS;
            long due = newestAcknowledgedBefore(mNowMs - CONFIGURATION_MS);
            if (inTouch && version < due) {
                report("follows version " + version + ", in force should be " + due);
            }
            if (inTouch && !mFreshness.isFresh(now())) {
                report("does not trust its state");
            }
        }

        /** Checks that no evacuation is forgotten that the operator still wants. */
        private void checkEvacuations() {
            Set<FailureDomainId> wanted = new HashSet<>(mWanted);
            wanted.retainAll(mStore.evacuated());
            Set<FailureDomainId> evacuated = mTracker.evacuations().keySet();
            if (!evacuated.containsAll(wanted)) {
                report("forgot an evacuation of " + wanted + ", has " + evacuated);
            }
            wanted.addAll(evacuated);
            wanted.retainAll(mStore.evacuated());
            mWanted = wanted;
        }

        private void report(String what) {
            mViolations.add(
                    "at %d ms instance %d, life %d: %s"
                            .formatted(mNowMs, mInstances.indexOf(this), mLife, what));
        }
    }
}
