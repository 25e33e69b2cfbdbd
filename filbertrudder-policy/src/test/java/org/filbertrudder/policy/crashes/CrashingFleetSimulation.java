package org.filbertrudder.policy.crashes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.PartEvidence;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.VirtualSchedule;

/**
 * Plays instances, endpoints and callers on a virtual clock: requests with crashing parts and sound
 * ones beside them, crashes of other causes, lost and late messages, cuts and deaths of instances.
 */
final class CrashingFleetSimulation {

    /** The time of contact of the platform's rules, in milliseconds. */
    static final long CONTACT_MS = 6_000;

    private static final int CRASHES_BEFORE_BOUND = 5;
    private static final int TICK_MS = 100;
    private static final int FIRST_PARTS = 3;
    private static final int SECOND_PARTS = 70;
    private static final long CRASHING_FROM_MS = 10_000;
    private static final long DOWN_MS = 3_000;

    private final Scenario mScenario;
    private final Random mRandom;
    private final VirtualSchedule mSchedule = new VirtualSchedule();
    private final List<Instance> mInstances = new ArrayList<>();
    private final List<Endpoint> mEndpoints = new ArrayList<>();
    private final Map<String, PartEvidence> mStore = new HashMap<>();
    private final Map<String, List<Long>> mCrashesMs = new HashMap<>();
    private final Map<String, List<Long>> mCrashingSendsMs = new HashMap<>();
    private final Set<String> mSoundBlocked = new HashSet<>();
    private long mNextRequest;
    private long mMessages;
    private int mSoundSent;
    private int mSoundRefused;

    /**
     * Describes a run.
     *
     * @param instances the number of instances
     * @param crashingParts the number of parts that crash endpoints
     * @param crashingShare the share of requests that have one of them
     * @param otherCrashes whether endpoints also crash for other reasons
     * @param faults whether messages are lost, and instances are cut off and die
     */
    record Scenario(
            int instances,
            int crashingParts,
            double crashingShare,
            boolean otherCrashes,
            boolean faults) {}

    /**
     * Holds the result of a run.
     *
     * @param crashes the number of crashes by requests with a crashing part
     * @param lateSends the sends with one crashing part, the one with most of them, by instances in
     *     touch, later than the time of contact after its fifth crash
     * @param soundBlocked the sound parts that were blocked at any time
     * @param soundSent the number of sound requests
     * @param soundRefused the number of sound requests refused
     * @param messages the number of messages between instances
     */
    record Result(
            int crashes,
            int lateSends,
            Set<String> soundBlocked,
            int soundSent,
            int soundRefused,
            long messages) {}

    private final class Instance {

        private final InstanceId mId;
        private final Set<InstanceId> mOthers = new LinkedHashSet<>();
        private CrashingParts mParts = new CrashingParts();
        private EvidenceGossip mGossip;
        private long mOutOfTouchUntilMs;
        private long mCutUntilMs;
        private boolean mDead;

        Instance(int index) {
            mId = InstanceId.of("i" + index);
            mGossip = new EvidenceGossip(mId, mParts);
        }

        boolean isInTouch() {
            return !mDead && mSchedule.nowMs() >= mOutOfTouchUntilMs;
        }

        void restart() {
            mDead = false;
            mParts = new CrashingParts();
            mGossip = new EvidenceGossip(mId, mParts);
            mStore.values().forEach(evidence -> mParts.merge(evidence, mSchedule.nowMs()));
            mOutOfTouchUntilMs = mSchedule.nowMs() + CONTACT_MS;
        }
    }

    private static final class Endpoint {

        private final List<Request> mRunning = new ArrayList<>();
        private boolean mDown;
    }

    private final class Request {

        private final Instance mInstance;
        private final List<String> mParts;
        private final long mHash;
        private final String mCrashingPart;
        private SentParts mSent;
        private boolean mBegun;
        private int mAttempts;

        Request(Instance instance, List<String> parts, String crashingPart) {
            mInstance = instance;
            mParts = parts;
            mCrashingPart = crashingPart;
            mHash = ++mNextRequest;
        }
    }

    CrashingFleetSimulation(Scenario scenario, long seed) {
        mScenario = scenario;
        mRandom = new Random(seed);
        for (int i = 0; i < scenario.instances(); i++) {
            mInstances.add(new Instance(i));
        }
        mInstances.forEach(
                instance ->
                        mInstances.stream()
                                .filter(each -> each != instance)
                                .forEach(each -> instance.mOthers.add(each.mId)));
        for (int i = 0; i < Math.max(8, scenario.instances()); i++) {
            mEndpoints.add(new Endpoint());
        }
    }

    Result run(long durationMs) {
        mInstances.forEach(
                instance -> mSchedule.add(mRandom.nextInt(TICK_MS), () -> tick(instance)));
        long requestGapMs = Math.max(1, 120 / mScenario.instances());
        for (long atMs = 0;
                atMs < durationMs;
                atMs += 1 + mRandom.nextInt((int) requestGapMs * 2)) {
            mSchedule.add(atMs, this::newRequest);
        }
        if (mScenario.otherCrashes()) {
            for (long atMs = 1_000; atMs < durationMs; atMs += 500 + mRandom.nextInt(4_000)) {
                mSchedule.add(atMs, () -> crash(pick(mEndpoints)));
            }
        }
        if (mScenario.faults()) {
            for (long atMs = 1_000; atMs < durationMs; atMs += 500 + mRandom.nextInt(3_000)) {
                mSchedule.add(atMs, this::fault);
            }
        }
        mSchedule.run(durationMs - 1);
        return result();
    }

    private Result result() {
        int crashes = mCrashesMs.values().stream().mapToInt(List::size).sum();
        int late = mCrashesMs.keySet().stream().mapToInt(this::lateSends).max().orElse(0);
        return new Result(crashes, late, mSoundBlocked, mSoundSent, mSoundRefused, mMessages);
    }

    /** Returns the sends with a part later than the time of contact after its fifth crash. */
    private int lateSends(String part) {
        List<Long> crashesMs = mCrashesMs.get(part);
        if (crashesMs.size() < CRASHES_BEFORE_BOUND) {
            return 0;
        }
        long boundMs = crashesMs.get(CRASHES_BEFORE_BOUND - 1) + CONTACT_MS;
        return (int)
                mCrashingSendsMs.getOrDefault(part, List.of()).stream()
                        .filter(atMs -> atMs > boundMs)
                        .count();
    }

    private void add(Map<String, List<Long>> timesMs, String part) {
        timesMs.computeIfAbsent(part, key -> new ArrayList<>()).add(mSchedule.nowMs());
    }

    private <T> T pick(List<T> list) {
        return list.get(mRandom.nextInt(list.size()));
    }

    private void newRequest() {
        List<Instance> alive = mInstances.stream().filter(each -> !each.mDead).toList();
        if (alive.isEmpty()) {
            return;
        }
        List<String> parts = new ArrayList<>();
        parts.add("first-" + mRandom.nextInt(FIRST_PARTS));
        parts.add("second-" + mRandom.nextInt(SECOND_PARTS));
        String crashingPart = null;
        if (mSchedule.nowMs() > CRASHING_FROM_MS
                && mRandom.nextDouble() < mScenario.crashingShare()) {
            crashingPart = "crashing-" + mRandom.nextInt(mScenario.crashingParts());
            parts.add(mRandom.nextInt(parts.size() + 1), crashingPart);
        }
        Request request = new Request(pick(alive), parts, crashingPart);
        if (crashingPart == null) {
            mSoundSent++;
        }
        send(request);
    }

    private void send(Request request) {
        Instance instance = request.mInstance;
        List<Endpoint> up = mEndpoints.stream().filter(each -> !each.mDown).toList();
        if (instance.mDead || up.isEmpty() || request.mAttempts >= 2) {
            return;
        }
        if (instance.mParts.refusedPart(request.mParts).isPresent()) {
            mSoundRefused += request.mCrashingPart == null ? 1 : 0;
            return;
        }
        request.mAttempts++;
        request.mSent = instance.mParts.sent(request.mParts, mSchedule.nowMs());
        request.mBegun = false;
        if (request.mCrashingPart != null && instance.isInTouch()) {
            add(mCrashingSendsMs, request.mCrashingPart);
        }
        Endpoint endpoint = pick(up);
        endpoint.mRunning.add(request);
        int attempt = request.mAttempts;
        mSchedule.add(
                mSchedule.nowMs() + 30 + mRandom.nextInt(500),
                () -> begin(request, endpoint, attempt));
    }

    private void begin(Request request, Endpoint endpoint, int attempt) {
        if (request.mAttempts != attempt || !endpoint.mRunning.contains(request)) {
            return;
        }
        if (request.mCrashingPart != null) {
            add(mCrashesMs, request.mCrashingPart);
            crash(endpoint);
            return;
        }
        request.mBegun = true;
        Instance instance = request.mInstance;
        if (!instance.mDead) {
            instance.mGossip.addChanged(
                    instance.mParts.recordAnswer(request.mSent, mSchedule.nowMs()));
        }
        mSchedule.add(mSchedule.nowMs() + 1_000, () -> endpoint.mRunning.remove(request));
    }

    private void crash(Endpoint endpoint) {
        if (endpoint.mDown) {
            return;
        }
        endpoint.mDown = true;
        List<Request> interrupted = List.copyOf(endpoint.mRunning);
        endpoint.mRunning.clear();
        for (Request request : interrupted) {
            if (!request.mBegun) {
                mSchedule.add(
                        mSchedule.nowMs() + 1 + mRandom.nextInt(60), () -> lose(request, endpoint));
            }
        }
        mSchedule.add(mSchedule.nowMs() + DOWN_MS, () -> endpoint.mDown = false);
    }

    private void lose(Request request, Endpoint endpoint) {
        Instance instance = request.mInstance;
        if (!instance.mDead) {
            instance.mGossip.addChanged(
                    instance.mParts.recordLoss(
                            request.mSent,
                            request.mHash,
                            1 + mEndpoints.indexOf(endpoint),
                            mSchedule.nowMs()));
            send(request);
        }
    }

    private void tick(Instance instance) {
        mSchedule.add(mSchedule.nowMs() + TICK_MS, () -> tick(instance));
        if (instance.mDead) {
            return;
        }
        for (EvidenceGossip.Send send :
                instance.mGossip.tick(instance.mOthers, mSchedule.nowMs())) {
            deliver(instance, instance(send.to()), send.message());
        }
        for (PartEvidence evidence : instance.mParts.blocked(mSchedule.nowMs())) {
            mStore.putIfAbsent(evidence.part(), evidence);
            boolean sound = !evidence.part().startsWith("crashing");
            if (sound && instance.mParts.refusedPart(List.of(evidence.part())).isPresent()) {
                mSoundBlocked.add(evidence.part());
            }
        }
    }

    private void deliver(Instance from, Instance to, PeerMessage message) {
        mMessages++;
        boolean lost = mScenario.faults() && mRandom.nextInt(10) == 0;
        if (!lost && !isCut(from) && !isCut(to)) {
            long delayMs = 1 + mRandom.nextInt(mRandom.nextInt(10) == 0 ? 900 : 100);
            mSchedule.add(mSchedule.nowMs() + delayMs, () -> receive(to, from, message));
        }
    }

    private Instance instance(InstanceId id) {
        return mInstances.get(Integer.parseInt(id.value().substring(1)));
    }

    private boolean isCut(Instance instance) {
        return instance.mDead || mSchedule.nowMs() < instance.mCutUntilMs;
    }

    private void receive(Instance to, Instance from, PeerMessage message) {
        if (isCut(to)) {
            return;
        }
        Optional<PeerMessage> answer =
                message instanceof PeerMessage.PartEvidenceDigest digest
                        ? to.mGossip.handle(digest, mSchedule.nowMs())
                        : to.mGossip.handle(
                                (PeerMessage.PartEvidenceReport) message,
                                to.mOthers.size(),
                                mSchedule.nowMs());
        answer.ifPresent(reply -> deliver(to, from, reply));
    }

    private void fault() {
        Instance instance = pick(mInstances);
        long durationMs = 500 + mRandom.nextInt(4_000);
        if (instance.mDead) {
            return;
        }
        if (mRandom.nextBoolean()) {
            instance.mCutUntilMs = mSchedule.nowMs() + durationMs;
            instance.mOutOfTouchUntilMs = instance.mCutUntilMs + CONTACT_MS;
        } else {
            instance.mDead = true;
            mSchedule.add(mSchedule.nowMs() + durationMs, instance::restart);
        }
    }
}
