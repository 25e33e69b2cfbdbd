package org.filbertrudder.policy.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.RendezvousHashing;

/**
 * Detects failed instances and distributes the member table, at a constant cost for each member.
 *
 * <p>Each member sends heartbeats to a few neighbours: its successor on a hash ring, so that every
 * member is monitored, and some chosen by rendezvous hashing, so that updates need few hops.
 * Updates are flooded along these links in both directions. A suspected member refutes the
 * suspicion with a higher incarnation. What another member reports is applied here only when the
 * suspected one no longer answers this instance, and a suspect is asked through others as well
 * before it is declared dead.
 */
public final class Membership {

    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    /** Heartbeat intervals after which a differing table is requested even in an update storm. */
    private static final int MAX_TABLE_REQUEST_DELAY_HEARTBEATS = 8;

    private final MembershipSettings mSettings;
    private final RandomGenerator mRandom;
    private final Map<InstanceId, Member> mMembers = new TreeMap<>();
    private final Map<InstanceId, Observation> mObservations = new HashMap<>();
    private final Set<PeerAddress> mSeeds = new LinkedHashSet<>();
    private final UpdateBatch mUpdateBatch = new UpdateBatch();
    private final MemberChanges mChanges = new MemberChanges();
    private final HeldReports mHeldReports = new HeldReports();
    private final IndirectProbes mProbes;
    private long mDigestDiffersSinceMs = NEVER_MS;
    private Member mSelf;
    private int mDigest;
    private int mSharedDigest;
    private Long mLastAnswerMs;
    private long mVersion;
    private long mNextHeartbeatMs;
    private long mNextReconnectMs;
    private long mNextTableRequestMs;
    private List<Member> mNeighbours = List.of();
    private boolean mNeighboursStale = true;

    /** Creates the membership of an instance that knows no other members. */
    public Membership(Member self, MembershipSettings settings, RandomGenerator random) {
        mSelf = self;
        mSettings = settings;
        mRandom = random;
        mProbes = new IndirectProbes(settings.neighbours(), random);
        store(self);
    }

    /** Returns this instance's own member record. */
    public Member self() {
        return mSelf;
    }

    /** Adds addresses that are contacted until other members are known. */
    public void addSeeds(Collection<PeerAddress> seeds) {
        seeds.stream().filter(seed -> !seed.equals(PeerAddress.of(mSelf))).forEach(mSeeds::add);
    }

    /** Returns all known members including this one, in the order of their ids. */
    public List<Member> members() {
        return List.copyOf(mMembers.values());
    }

    /** Returns the member with the id; empty if it is unknown. */
    public Optional<Member> member(InstanceId id) {
        return Optional.ofNullable(mMembers.get(id));
    }

    /** Returns the members of a region that may be given work. */
    public List<Member> membersAcceptingWorkIn(RegionId region) {
        return mMembers.values().stream()
                .filter(member -> member.acceptsNewRequests() && member.region().equals(region))
                .toList();
    }

    /** Returns since when a member has been in its present state; empty if it is unknown. */
    public Optional<Long> stateSinceMs(InstanceId id) {
        return Optional.ofNullable(mObservations.get(id)).map(Observation::stateSinceMs);
    }

    /** Returns when any member last answered a heartbeat; empty if none ever did. */
    public Optional<Long> lastAnswerMs() {
        return Optional.ofNullable(mLastAnswerMs);
    }

    /** Returns whether the region has other members that have not announced that they leave. */
    public boolean hasPeersInRegion() {
        return mMembers.values().stream()
                .filter(member -> !member.id().equals(mSelf.id()))
                .filter(member -> member.region().equals(mSelf.region()))
                .anyMatch(this::isNotLeaving);
    }

    private boolean isNotLeaving(Member member) {
        Observation observation = mObservations.get(member.id());
        return member.state() != MemberState.LEAVING
                && (observation == null || !observation.hasAnnouncedLeave());
    }

    /** Returns a number that increases with each change of the member table. */
    public long version() {
        return mVersion;
    }

    /** Returns the changes of members' states since the last call, without the oldest of many. */
    public List<MemberChange> takeChanges() {
        return mChanges.take();
    }

    /** Returns the evidence about members since the last call, without the oldest of much. */
    public List<MemberEvidence> takeEvidence() {
        return mChanges.takeEvidence();
    }

    /** Returns a digest of the members that are not dead and of the other shared state. */
    public int digest() {
        return mDigest ^ mSharedDigest;
    }

    /**
     * Sets the digest of other state that is replicated to all members.
     *
     * <p>A member whose digest differs requests the whole state, which repairs lost updates.
     */
    public void setSharedDigest(int digest) {
        mSharedDigest = digest;
    }

    /** Stores a member record and updates the digest. */
    private void store(Member member) {
        mVersion++;
        mDigest ^= digestOf(mMembers.put(member.id(), member)) ^ digestOf(member);
    }

    private static int digestOf(Member member) {
        if (member == null || member.state() == MemberState.DEAD) {
            return 0;
        }
        String digestInput = member.id() + "/" + member.incarnation() + "/" + member.state();
        return (int) RendezvousHashing.weight("member", digestInput);
    }

    /** Changes the state of this instance and returns the messages that announce it. */
    public List<OutboundMessage> setOwnState(MemberState state, long nowMs) {
        mSelf = mSelf.withState(state);
        store(mSelf);
        return forward(List.of(mSelf), null, nowMs);
    }

    /** Performs the periodic work that is due and returns the messages to send. */
    public List<OutboundMessage> tick(long revision, long nowMs) {
        List<OutboundMessage> messages = new ArrayList<>(applyHeldReports(nowMs));
        if (mUpdateBatch.isIntervalOver(nowMs)) {
            messages.addAll(floodPendingUpdates(null, nowMs));
        }
        if (nowMs >= mNextHeartbeatMs) {
            mNextHeartbeatMs = nowMs + mSettings.heartbeatMs();
            messages.addAll(heartbeats(revision, nowMs));
            messages.addAll(askAboutSuspects(nowMs));
            messages.addAll(detectFailures(nowMs));
        }
        if (nowMs >= mNextReconnectMs) {
            long jitterMs = mRandom.nextLong(mSettings.retryDeadMs() + 1);
            mNextReconnectMs = nowMs + mSettings.retryDeadMs() / 2 + jitterMs;
            messages.addAll(reconnectHeartbeats(revision));
        }
        return messages;
    }

    /** Returns a heartbeat, with which a member can be asked for an answer at any time. */
    public PeerMessage heartbeat(long revision) {
        return new PeerMessage.Heartbeat(mSelf, revision, digest());
    }

    private List<OutboundMessage> heartbeats(long revision, long nowMs) {
        PeerMessage heartbeat = heartbeat(revision);
        List<OutboundMessage> messages = new ArrayList<>();
        for (Member neighbour : neighbours()) {
            observation(neighbour.id(), nowMs).recordHeartbeatSent(nowMs);
            messages.add(new OutboundMessage(PeerAddress.of(neighbour), heartbeat));
        }
        return messages;
    }

    /**
     * Suspects neighbours that do not answer and declares those dead that do not refute the
     * suspicion.
     *
     * <p>A leaving neighbour that does not answer is declared dead without being suspected first,
     * as the state SUSPECT would hide that it is leaving.
     */
    private List<OutboundMessage> detectFailures(long nowMs) {
        List<Member> updates = new ArrayList<>();
        long deadAfterMs = mSettings.suspectAfterMs() + mSettings.deadAfterMs();
        for (Member neighbour : neighbours()) {
            Observation observation = observation(neighbour.id(), nowMs);
            if (neighbour.state() == MemberState.LIVE && observation.isSuspicious(nowMs)) {
                observation.recordSuspicion();
                mProbes.recordSuspicion(neighbour.id());
                updates.add(neighbour.withState(MemberState.SUSPECT));
            }
            if (neighbour.state() == MemberState.LEAVING
                    && observation.unansweredForMs(nowMs) > deadAfterMs) {
                updates.add(neighbour.withState(MemberState.DEAD));
            }
        }
        List<Member> changed = new ArrayList<>();
        updates.stream().filter(member -> apply(member, mSelf.id(), nowMs)).forEach(changed::add);
        expireMembers(nowMs);
        return changed.isEmpty() ? List.of() : forward(changed, null, nowMs);
    }

    private List<OutboundMessage> askAboutSuspects(long nowMs) {
        List<Member> suspects =
                neighbours().stream()
                        .filter(member -> member.state() == MemberState.SUSPECT)
                        .filter(member -> !observation(member.id(), nowMs).hasJustAnswered(nowMs))
                        .toList();
        return mProbes.ask(mSelf, suspects, mMembers.values());
    }

    private void expireMembers(long nowMs) {
        for (Member member : members()) {
            Observation observation = observation(member.id(), nowMs);
            long sinceMs = observation.stateSinceMs();
            if (member.state() == MemberState.SUSPECT
                    && nowMs - sinceMs > mSettings.deadAfterMs()
                    && !observation.hasJustAnswered(nowMs)) {
                apply(member.withState(MemberState.DEAD), mSelf.id(), nowMs);
            } else if (member.state() == MemberState.DEAD
                    && nowMs - sinceMs > mSettings.forgetDeadMs()) {
                mMembers.remove(member.id());
                mVersion++;
                mObservations.remove(member.id());
                mHeldReports.drop(member.id());
                mProbes.close(member.id());
            }
        }
    }

    /**
     * Returns heartbeats to one dead member and, if there are no neighbours, to one seed, so that a
     * partition heals without a message storm.
     */
    private List<OutboundMessage> reconnectHeartbeats(long revision) {
        List<PeerAddress> candidates = new ArrayList<>();
        mMembers.values().stream()
                .filter(member -> member.state() == MemberState.DEAD)
                .map(PeerAddress::of)
                .forEach(candidates::add);
        List<OutboundMessage> messages = new ArrayList<>();
        PeerMessage heartbeat = new PeerMessage.Heartbeat(mSelf, revision, digest());
        pickRandom(candidates).ifPresent(to -> messages.add(new OutboundMessage(to, heartbeat)));
        if (neighbours().isEmpty()) {
            pickRandom(List.copyOf(mSeeds))
                    .ifPresent(to -> messages.add(new OutboundMessage(to, heartbeat)));
        }
        return messages;
    }

    private Optional<PeerAddress> pickRandom(List<PeerAddress> candidates) {
        return candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get(mRandom.nextInt(candidates.size())));
    }

    /** Returns the messages with which a new member joins. */
    public List<OutboundMessage> join(long revision) {
        List<OutboundMessage> messages = new ArrayList<>();
        for (PeerAddress seed : mSeeds) {
            messages.add(
                    new OutboundMessage(
                            seed, new PeerMessage.Heartbeat(mSelf, revision, digest())));
        }
        // One table suffices; if the reply is lost, the next heartbeat shows a differing digest.
        pickRandom(List.copyOf(mSeeds))
                .ifPresent(
                        seed ->
                                messages.add(
                                        new OutboundMessage(
                                                seed, new PeerMessage.MembersRequest())));
        return messages;
    }

    /** Handles a heartbeat and answers it. */
    public List<OutboundMessage> handle(
            PeerMessage.Heartbeat heartbeat, long revision, long nowMs) {
        MemberRecords.requireComplete(heartbeat.sender());
        List<OutboundMessage> messages =
                new ArrayList<>(applySenderRecord(heartbeat.sender(), nowMs));
        observation(heartbeat.sender().id(), nowMs).recordHeartbeatReceived(nowMs);
        messages.add(
                new OutboundMessage(
                        PeerAddress.of(heartbeat.sender()),
                        new PeerMessage.HeartbeatAck(mSelf, revision, digest())));
        messages.addAll(
                requestTableIfDigestDiffers(heartbeat.sender(), heartbeat.members(), nowMs));
        return messages;
    }

    /** Handles the answer to a heartbeat. */
    public List<OutboundMessage> handle(PeerMessage.HeartbeatAck ack, long nowMs) {
        MemberRecords.requireComplete(ack.sender());
        List<OutboundMessage> messages = new ArrayList<>(applySenderRecord(ack.sender(), nowMs));
        mLastAnswerMs = nowMs;
        observation(ack.sender().id(), nowMs).recordAnswer(nowMs);
        messages.addAll(requestTableIfDigestDiffers(ack.sender(), ack.members(), nowMs));
        return messages;
    }

    /** Handles updated member records. */
    public List<OutboundMessage> handle(
            PeerMessage.MemberUpdates updates, InstanceId from, long nowMs) {
        updates.members().forEach(MemberRecords::requireComplete);
        List<Member> changed = new ArrayList<>();
        List<OutboundMessage> messages = new ArrayList<>();
        for (Member member : updates.members()) {
            if (member.id().equals(mSelf.id())) {
                refute(member).ifPresent(changed::add);
                messages.addAll(answerClaim(member, from));
            } else if (isContradicted(member, from, nowMs)) {
                messages.addAll(hold(member, from, nowMs));
            } else if (apply(member, from, nowMs)) {
                changed.add(member);
            }
        }
        if (!changed.isEmpty()) {
            messages.addAll(forward(changed, from, nowMs));
        }
        for (Member suspect : mProbes.suspectsAskedFor(updates.members(), from)) {
            messages.addAll(probe(suspect, from));
        }
        return messages;
    }

    /** Returns this instance's record to a member that claims that it has failed. */
    private List<OutboundMessage> answerClaim(Member claim, InstanceId from) {
        return MemberRecords.isSuspectOrDead(claim) && mSelf.supersedes(claim)
                ? tell(from, mSelf)
                : List.of();
    }

    /** Answers a question about a suspect, or tells the suspect, whose refutation is the answer. */
    private List<OutboundMessage> probe(Member suspect, InstanceId asker) {
        Member stored = mMembers.get(suspect.id());
        if (stored == null || stored.id().equals(mSelf.id())) {
            return List.of();
        }
        if (stored.incarnation() > suspect.incarnation()) {
            return tell(asker, stored);
        }
        mProbes.recordQuestion(suspect.id(), asker);
        return List.of(tell(stored, suspect));
    }

    /**
     * Returns whether another member reports a failure of a member that has just answered.
     *
     * <p>A member that leaves may stop at any time, so that its death is believed.
     */
    private boolean isContradicted(Member claim, InstanceId reporter, long nowMs) {
        Member stored = mMembers.get(claim.id());
        return MemberRecords.isSuspectOrDead(claim)
                && stored != null
                && stored.canHoldDuties()
                && claim.supersedes(stored)
                && !claim.id().equals(reporter)
                && observation(claim.id(), nowMs).hasJustAnswered(nowMs);
    }

    /** Holds a report and returns the message by which the member learns of it and refutes it. */
    private List<OutboundMessage> hold(Member claim, InstanceId reporter, long nowMs) {
        if (!mHeldReports.hold(claim, reporter)) {
            return List.of();
        }
        recordEvidence(
                MemberEvidence.Kind.REPORT_HELD,
                claim,
                reporter,
                observation(claim.id(), nowMs).answeredBeforeMs(nowMs));
        return List.of(tell(claim, claim));
    }

    private void recordEvidence(
            MemberEvidence.Kind kind, Member told, InstanceId reporter, long elapsedMs) {
        mChanges.record(
                new MemberEvidence(
                        kind, told.id(), told.state(), told.incarnation(), reporter, elapsedMs));
    }

    private List<OutboundMessage> tell(InstanceId to, Member record) {
        return member(to).map(member -> List.of(tell(member, record))).orElse(List.of());
    }

    private static OutboundMessage tell(Member to, Member record) {
        return new OutboundMessage(
                PeerAddress.of(to), new PeerMessage.MemberUpdates(List.of(record)));
    }

    /** Applies the held reports about members that answer no longer. */
    private List<OutboundMessage> applyHeldReports(long nowMs) {
        List<Member> changed = new ArrayList<>();
        mHeldReports
                .takeIf(id -> !observation(id, nowMs).hasJustAnswered(nowMs))
                .forEach(
                        report -> {
                            if (apply(report.claim(), report.reporter(), nowMs)) {
                                changed.add(report.claim());
                            }
                        });
        return changed.isEmpty() ? List.of() : forward(changed, null, nowMs);
    }

    private List<OutboundMessage> applySenderRecord(Member sender, long nowMs) {
        if (sender.id().equals(mSelf.id())) {
            return List.of();
        }
        Member stored = mMembers.get(sender.id());
        if (stored != null && MemberRecords.isOutdated(sender, stored)) {
            // Returns the newer record to the sender, which then announces a higher incarnation.
            return List.of(tell(sender, stored));
        }
        List<OutboundMessage> messages = new ArrayList<>();
        if (apply(sender, sender.id(), nowMs)) {
            messages.addAll(forward(List.of(sender), sender.id(), nowMs));
        }
        mHeldReports
                .claim(sender.id())
                .filter(claim -> MemberRecords.isOutdated(sender, claim))
                .ifPresent(claim -> messages.add(tell(sender, claim)));
        return messages;
    }

    private Optional<Member> refute(Member claim) {
        boolean differs =
                claim.state() != mSelf.state() || claim.incarnation() > mSelf.incarnation();
        if (!differs || claim.incarnation() < mSelf.incarnation()) {
            return Optional.empty();
        }
        if (claim.incarnation() == mSelf.incarnation() && !MemberRecords.isSuspectOrDead(claim)) {
            return Optional.empty();
        }
        mSelf = mSelf.withIncarnationAndState(claim.incarnation() + 1, mSelf.state());
        store(mSelf);
        return Optional.of(mSelf);
    }

    private boolean apply(Member member, InstanceId reporter, long nowMs) {
        Member stored = mMembers.get(member.id());
        if (stored != null && !member.supersedes(stored)) {
            return false;
        }
        if (stored == null && member.state() == MemberState.DEAD) {
            return false;
        }
        Observation observation = observation(member.id(), nowMs);
        mChanges.record(stored, member, reporter, observation.unansweredForMs(nowMs));
        boolean isIndirectAnswer =
                !MemberRecords.isSuspectOrDead(member)
                        && !member.id().equals(reporter)
                        && mProbes.isSuspectedHere(member.id());
        if (isIndirectAnswer) {
            recordEvidence(
                    MemberEvidence.Kind.INDIRECT_ANSWER,
                    member,
                    reporter,
                    nowMs - observation.stateSinceMs());
        }
        store(member);
        mHeldReports.dropIfOutdated(member);
        mUpdateBatch.countChange(nowMs);
        observation.recordState(hasAnnouncedLeave(member, observation), nowMs);
        mNeighboursStale = true;
        return true;
    }

    /** Returns whether the member has announced that it leaves; its later death is no failure. */
    private static boolean hasAnnouncedLeave(Member member, Observation observation) {
        return switch (member.state()) {
            case LEAVING -> true;
            case DEAD -> observation.hasAnnouncedLeave();
            default -> false;
        };
    }

    /**
     * Requests the whole table if the sender's digest differs; in an update storm only after a
     * delay.
     *
     * <p>While updates are in transit, tables differ temporarily although no update was lost.
     */
    private List<OutboundMessage> requestTableIfDigestDiffers(
            Member sender, int senderDigest, long nowMs) {
        if (senderDigest == digest()) {
            mDigestDiffersSinceMs = NEVER_MS;
            return List.of();
        }
        if (mDigestDiffersSinceMs == NEVER_MS) {
            mDigestDiffersSinceMs = nowMs;
        }
        boolean awaitsUpdates =
                mUpdateBatch.isStorm(nowMs)
                        && nowMs - mDigestDiffersSinceMs
                                < MAX_TABLE_REQUEST_DELAY_HEARTBEATS * mSettings.heartbeatMs();
        if (awaitsUpdates || nowMs < mNextTableRequestMs) {
            return List.of();
        }
        mDigestDiffersSinceMs = NEVER_MS;
        mNextTableRequestMs =
                nowMs + mSettings.heartbeatMs() + mRandom.nextLong(mSettings.heartbeatMs());
        return List.of(
                new OutboundMessage(PeerAddress.of(sender), new PeerMessage.MembersRequest()));
    }

    /** Forwards updates immediately, or batches them in an update storm. */
    private List<OutboundMessage> forward(List<Member> updates, InstanceId from, long nowMs) {
        mUpdateBatch.add(updates);
        List<OutboundMessage> messages = new ArrayList<>();
        updates.forEach(member -> messages.addAll(answerQuestions(member)));
        if (!mUpdateBatch.isStorm(nowMs) || mUpdateBatch.isIntervalOver(nowMs)) {
            messages.addAll(floodPendingUpdates(from, nowMs));
        }
        return messages;
    }

    /** Returns the record of a member to those that have asked about it, unless it is a suspect. */
    private List<OutboundMessage> answerQuestions(Member member) {
        if (member.state() == MemberState.SUSPECT) {
            return List.of();
        }
        return mProbes.close(member.id()).stream()
                .flatMap(asker -> tell(asker, member).stream())
                .toList();
    }

    private List<OutboundMessage> floodPendingUpdates(InstanceId from, long nowMs) {
        List<Member> updates = mUpdateBatch.take(nowMs);
        if (updates.isEmpty()) {
            return List.of();
        }
        PeerMessage message = new PeerMessage.MemberUpdates(updates);
        return floodTargets(from, nowMs).stream()
                .map(to -> new OutboundMessage(to, message))
                .toList();
    }

    /** Returns the addresses that updates from a member are forwarded to. */
    public List<PeerAddress> floodTargets(InstanceId from, long nowMs) {
        Set<PeerAddress> targets = new LinkedHashSet<>();
        neighbours().stream()
                .filter(member -> !member.id().equals(from))
                .map(PeerAddress::of)
                .forEach(targets::add);
        long heartbeatsSinceMs = nowMs - mSettings.suspectAfterMs();
        mObservations.forEach(
                (id, observation) -> {
                    Member member = mMembers.get(id);
                    if (observation.heartbeatReceivedMs() > heartbeatsSinceMs
                            && member != null
                            && !id.equals(from)) {
                        targets.add(PeerAddress.of(member));
                    }
                });
        return List.copyOf(targets);
    }

    private List<Member> neighbours() {
        if (mNeighboursStale) {
            mNeighbours =
                    NeighbourSelector.choose(mSelf, mMembers.values(), mSettings.neighbours());
            mNeighboursStale = false;
        }
        return mNeighbours.stream().map(member -> mMembers.get(member.id())).toList();
    }

    private Observation observation(InstanceId id, long nowMs) {
        return mObservations.computeIfAbsent(id, key -> new Observation(mSettings, nowMs));
    }
}
