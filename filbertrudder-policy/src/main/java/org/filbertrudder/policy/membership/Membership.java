package org.filbertrudder.policy.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
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
import org.filbertrudder.policy.Rendezvous;

/**
 * Tracks which instances are alive, at a constant cost for each member.
 *
 * <p>Each member sends heartbeats to a few neighbours: its successor on a hash ring, so that every
 * member is watched, and some chosen by rendezvous hashing, so that news needs few hops. News is
 * flooded along these links in both directions. A suspected member proves that it is alive by a
 * higher incarnation.
 */
public final class Membership {

    private static final int MAX_ACCUSE_BACKOFF = 16;
    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    /** More changes than this within the window count as a storm. */
    private static final int STORM_CHANGES = 8;

    private static final long STORM_WINDOW_MS = 1_000;

    /** In a storm, news that comes sooner after other news is passed on together, in ms. */
    private static final long FLOOD_INTERVAL_MS = 200;

    /** The heartbeats after which a table that keeps changing is asked for all the same. */
    private static final int MAX_SETTLING_HEARTBEATS = 8;

    private final MembershipSettings mSettings;
    private final RandomGenerator mRandom;
    private final Map<InstanceId, Member> mMembers = new TreeMap<>();
    private final Map<InstanceId, Contact> mContacts = new HashMap<>();
    private final Set<PeerAddress> mSeeds = new LinkedHashSet<>();
    private final Map<InstanceId, Member> mNews = new TreeMap<>();
    private long mFloodedMs = NEVER_MS;
    private long mChangesSinceMs = NEVER_MS;
    private int mChanges;
    private long mDiffersSinceMs = NEVER_MS;
    private Member mSelf;
    private int mDigest;
    private int mSharedDigest;
    private Long mLastAnswerMs;
    private long mVersion;
    private long mNextHeartbeatMs;
    private long mNextDeadRetryMs;
    private long mNextSyncMs;
    private List<Member> mNeighbours = List.of();
    private boolean mNeighboursStale = true;

    /** Creates the membership of an instance that knows only itself. */
    public Membership(Member self, MembershipSettings settings, RandomGenerator random) {
        mSelf = self;
        mSettings = settings;
        mRandom = random;
        put(self);
    }

    /** Returns this instance's own description. */
    public Member self() {
        return mSelf;
    }

    /** Adds addresses to be contacted until other members are known. */
    public void addSeeds(Collection<PeerAddress> seeds) {
        seeds.stream().filter(seed -> !seed.equals(PeerAddress.of(mSelf))).forEach(mSeeds::add);
    }

    /** Returns all known members with this one, in the order of their ids. */
    public List<Member> members() {
        return List.copyOf(mMembers.values());
    }

    /** Returns the member with the id. */
    public Optional<Member> member(InstanceId id) {
        return Optional.ofNullable(mMembers.get(id));
    }

    /** Returns the members of a region that may be given work. */
    public List<Member> workingIn(RegionId region) {
        return mMembers.values().stream()
                .filter(member -> member.takesWork() && member.region().equals(region))
                .toList();
    }

    /** Returns since when a member has been in its present state; absent if it is unknown. */
    public Optional<Long> stateSinceMs(InstanceId id) {
        return Optional.ofNullable(mContacts.get(id)).map(contact -> contact.mStateSinceMs);
    }

    /** Returns when any member answered a heartbeat last; absent if none ever did. */
    public Optional<Long> lastAnswerMs() {
        return Optional.ofNullable(mLastAnswerMs);
    }

    /** Returns whether the region has other members that have not said that they leave. */
    public boolean hasPeersInRegion() {
        return mMembers.values().stream()
                .filter(member -> !member.id().equals(mSelf.id()))
                .filter(member -> member.region().equals(mSelf.region()))
                .anyMatch(this::hasNotLeft);
    }

    private boolean hasNotLeft(Member member) {
        Contact contact = mContacts.get(member.id());
        return member.state() != MemberState.LEAVING && (contact == null || !contact.mHasLeft);
    }

    /** Returns a number that grows with each change of the member table. */
    public long version() {
        return mVersion;
    }

    /** Returns a digest of the members that are not dead and of the shared state beside them. */
    public int digest() {
        return mDigest ^ mSharedDigest;
    }

    /**
     * Sets the digest of other state that all members share.
     *
     * <p>A member whose digest differs asks for the whole state, so lost news is repaired.
     */
    public void setSharedDigest(int digest) {
        mSharedDigest = digest;
    }

    /** Replaces the description of a member and keeps the digest up to date. */
    private void put(Member member) {
        mVersion++;
        mDigest ^= digestOf(mMembers.put(member.id(), member)) ^ digestOf(member);
    }

    private static int digestOf(Member member) {
        if (member == null || member.state() == MemberState.DEAD) {
            return 0;
        }
        String text = member.id() + "/" + member.incarnation() + "/" + member.state();
        return (int) Rendezvous.weight("member", text);
    }

    /** Changes the state of this instance and spreads the news. */
    public List<PeerSend> setOwnState(MemberState state, long nowMs) {
        mSelf = mSelf.in(state);
        put(mSelf);
        return flood(List.of(mSelf), null, nowMs);
    }

    /** Sends the messages that are due. */
    public List<PeerSend> tick(long revision, long nowMs) {
        List<PeerSend> sends = new ArrayList<>();
        if (nowMs - mFloodedMs >= FLOOD_INTERVAL_MS) {
            sends.addAll(floodNews(null, nowMs));
        }
        if (nowMs >= mNextHeartbeatMs) {
            mNextHeartbeatMs = nowMs + mSettings.heartbeatMs();
            sends.addAll(heartbeats(revision, nowMs));
            sends.addAll(judge(nowMs));
        }
        if (nowMs >= mNextDeadRetryMs) {
            long jitterMs = mRandom.nextLong(mSettings.retryDeadMs() + 1);
            mNextDeadRetryMs = nowMs + mSettings.retryDeadMs() / 2 + jitterMs;
            sends.addAll(retries(revision));
        }
        return sends;
    }

    private List<PeerSend> heartbeats(long revision, long nowMs) {
        PeerMessage heartbeat = new PeerMessage.Heartbeat(mSelf, revision, digest());
        List<PeerSend> sends = new ArrayList<>();
        for (Member neighbour : neighbours()) {
            contact(neighbour.id(), nowMs).noteAsked(nowMs);
            sends.add(new PeerSend(PeerAddress.of(neighbour), heartbeat));
        }
        return sends;
    }

    /**
     * Suspects silent neighbours and gives up suspected members that have not refuted it.
     *
     * <p>A neighbour that falls silent while it leaves is given up without a suspicion, as that
     * would make it seem to stay.
     */
    private List<PeerSend> judge(long nowMs) {
        List<Member> news = new ArrayList<>();
        long givenUpMs = mSettings.suspectAfterMs() + mSettings.deadAfterMs();
        for (Member neighbour : neighbours()) {
            Contact contact = contact(neighbour.id(), nowMs);
            long patienceMs = mSettings.suspectAfterMs() * contact.mAccuseBackoff;
            if (neighbour.state() == MemberState.LIVE && contact.silentForMs(nowMs) > patienceMs) {
                contact.mAccuseBackoff = Math.min(MAX_ACCUSE_BACKOFF, contact.mAccuseBackoff * 2);
                contact.mAskedSinceMs = nowMs;
                news.add(neighbour.in(MemberState.SUSPECT));
            }
            if (neighbour.state() == MemberState.LEAVING
                    && contact.silentForMs(nowMs) > givenUpMs) {
                news.add(neighbour.in(MemberState.DEAD));
            }
        }
        List<Member> changed = new ArrayList<>();
        news.stream().filter(member -> apply(member, nowMs)).forEach(changed::add);
        buryAndForget(nowMs);
        return changed.isEmpty() ? List.of() : flood(changed, null, nowMs);
    }

    private void buryAndForget(long nowMs) {
        for (Member member : members()) {
            long sinceMs = contact(member.id(), nowMs).mStateSinceMs;
            if (member.state() == MemberState.SUSPECT
                    && nowMs - sinceMs > mSettings.deadAfterMs()) {
                apply(member.in(MemberState.DEAD), nowMs);
            } else if (member.state() == MemberState.DEAD
                    && nowMs - sinceMs > mSettings.forgetDeadMs()) {
                mMembers.remove(member.id());
                mVersion++;
                mContacts.remove(member.id());
            }
        }
    }

    /** Tries one dead member and one seed, so that a partition heals without a storm. */
    private List<PeerSend> retries(long revision) {
        List<PeerAddress> candidates = new ArrayList<>();
        mMembers.values().stream()
                .filter(member -> member.state() == MemberState.DEAD)
                .map(PeerAddress::of)
                .forEach(candidates::add);
        List<PeerSend> sends = new ArrayList<>();
        PeerMessage heartbeat = new PeerMessage.Heartbeat(mSelf, revision, digest());
        pick(candidates).ifPresent(to -> sends.add(new PeerSend(to, heartbeat)));
        if (neighbours().isEmpty()) {
            pick(List.copyOf(mSeeds)).ifPresent(to -> sends.add(new PeerSend(to, heartbeat)));
        }
        return sends;
    }

    private Optional<PeerAddress> pick(List<PeerAddress> candidates) {
        return candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get(mRandom.nextInt(candidates.size())));
    }

    /** Returns the first messages of a new member. */
    public List<PeerSend> join(long revision) {
        List<PeerSend> sends = new ArrayList<>();
        for (PeerAddress seed : mSeeds) {
            sends.add(new PeerSend(seed, new PeerMessage.Heartbeat(mSelf, revision, digest())));
        }
        // One table suffices; if it is lost, the next heartbeat shows that the tables differ.
        pick(List.copyOf(mSeeds))
                .ifPresent(seed -> sends.add(new PeerSend(seed, new PeerMessage.MembersRequest())));
        return sends;
    }

    /** Handles a heartbeat and answers it. */
    public List<PeerSend> handle(PeerMessage.Heartbeat heartbeat, long revision, long nowMs) {
        requireComplete(heartbeat.sender());
        List<PeerSend> sends = new ArrayList<>(heardFrom(heartbeat.sender(), nowMs));
        contact(heartbeat.sender().id(), nowMs).mWatchesUsMs = nowMs;
        sends.add(
                new PeerSend(
                        PeerAddress.of(heartbeat.sender()),
                        new PeerMessage.HeartbeatAck(mSelf, revision, digest())));
        sends.addAll(compare(heartbeat.sender(), heartbeat.members(), nowMs));
        return sends;
    }

    /** Handles the answer to a heartbeat. */
    public List<PeerSend> handle(PeerMessage.HeartbeatAck ack, long nowMs) {
        requireComplete(ack.sender());
        List<PeerSend> sends = new ArrayList<>(heardFrom(ack.sender(), nowMs));
        mLastAnswerMs = nowMs;
        contact(ack.sender().id(), nowMs).noteAnswered();
        sends.addAll(compare(ack.sender(), ack.members(), nowMs));
        return sends;
    }

    /** Handles news of members. */
    public List<PeerSend> handle(PeerMessage.MemberUpdates updates, InstanceId from, long nowMs) {
        updates.members().forEach(Membership::requireComplete);
        List<Member> changed = new ArrayList<>();
        for (Member member : updates.members()) {
            if (member.id().equals(mSelf.id())) {
                refute(member).ifPresent(changed::add);
            } else if (apply(member, nowMs)) {
                changed.add(member);
            }
        }
        return changed.isEmpty() ? List.of() : flood(changed, from, nowMs);
    }

    /** Refuses a description that would break every later look at the member table. */
    private static void requireComplete(Member member) {
        boolean complete =
                member != null
                        && member.id() != null
                        && member.region() != null
                        && member.failureDomain() != null
                        && member.host() != null
                        && member.state() != null;
        if (!complete) {
            throw new IllegalArgumentException("The description of a member is incomplete.");
        }
    }

    private List<PeerSend> heardFrom(Member sender, long nowMs) {
        if (sender.id().equals(mSelf.id())) {
            return List.of();
        }
        Member known = mMembers.get(sender.id());
        if (known != null && isOutdated(sender, known)) {
            // Tells the sender what is known of it, so that it claims a higher incarnation.
            return List.of(
                    new PeerSend(
                            PeerAddress.of(sender), new PeerMessage.MemberUpdates(List.of(known))));
        }
        return apply(sender, nowMs) ? flood(List.of(sender), sender.id(), nowMs) : List.of();
    }

    /**
     * Returns whether what is known of a member hides what it says of itself: it is doubted, or its
     * clock has stepped back since an earlier start.
     */
    private static boolean isOutdated(Member sender, Member known) {
        return known.incarnation() > sender.incarnation()
                || (known.incarnation() == sender.incarnation() && doubted(known));
    }

    private static boolean doubted(Member member) {
        return member.state() == MemberState.SUSPECT || member.state() == MemberState.DEAD;
    }

    private Optional<Member> refute(Member claim) {
        boolean wrong = claim.state() != mSelf.state() || claim.incarnation() > mSelf.incarnation();
        if (!wrong || claim.incarnation() < mSelf.incarnation()) {
            return Optional.empty();
        }
        if (claim.incarnation() == mSelf.incarnation() && !doubted(claim)) {
            return Optional.empty();
        }
        mSelf = mSelf.of(claim.incarnation() + 1, mSelf.state());
        put(mSelf);
        return Optional.of(mSelf);
    }

    private boolean apply(Member member, long nowMs) {
        Member known = mMembers.get(member.id());
        if (known != null && !member.supersedes(known)) {
            return false;
        }
        if (known == null && member.state() == MemberState.DEAD) {
            return false;
        }
        put(member);
        countChange(nowMs);
        Contact contact = contact(member.id(), nowMs);
        contact.mStateSinceMs = nowMs;
        contact.mHasLeft = hasLeft(member, contact);
        contact.noteAnswered();
        mNeighboursStale = true;
        return true;
    }

    /** Returns whether the member has said that it leaves; its death after that is no silence. */
    private static boolean hasLeft(Member member, Contact contact) {
        return switch (member.state()) {
            case LEAVING -> true;
            case DEAD -> contact.mHasLeft;
            default -> false;
        };
    }

    /**
     * Asks for the whole table if the other side's differs and has had time to settle.
     *
     * <p>While news comes in, tables differ for a moment without anything being lost.
     */
    private List<PeerSend> compare(Member sender, int theirDigest, long nowMs) {
        if (theirDigest == digest()) {
            mDiffersSinceMs = NEVER_MS;
            return List.of();
        }
        if (mDiffersSinceMs == NEVER_MS) {
            mDiffersSinceMs = nowMs;
        }
        boolean settling =
                isStorm(nowMs)
                        && nowMs - mDiffersSinceMs
                                < MAX_SETTLING_HEARTBEATS * mSettings.heartbeatMs();
        if (settling || nowMs < mNextSyncMs) {
            return List.of();
        }
        mDiffersSinceMs = NEVER_MS;
        mNextSyncMs = nowMs + mSettings.heartbeatMs() + mRandom.nextLong(mSettings.heartbeatMs());
        return List.of(new PeerSend(PeerAddress.of(sender), new PeerMessage.MembersRequest()));
    }

    /** Passes news on: at once, but in a storm together with what comes soon after. */
    private List<PeerSend> flood(List<Member> news, InstanceId from, long nowMs) {
        news.forEach(member -> mNews.put(member.id(), member));
        if (isStorm(nowMs) && nowMs - mFloodedMs < FLOOD_INTERVAL_MS) {
            return List.of();
        }
        return floodNews(from, nowMs);
    }

    /** Returns whether many members have changed lately, as when all of them start. */
    private boolean isStorm(long nowMs) {
        return nowMs - mChangesSinceMs < STORM_WINDOW_MS && mChanges > STORM_CHANGES;
    }

    private void countChange(long nowMs) {
        if (nowMs - mChangesSinceMs >= STORM_WINDOW_MS) {
            mChangesSinceMs = nowMs;
            mChanges = 0;
        }
        mChanges++;
    }

    private List<PeerSend> floodNews(InstanceId from, long nowMs) {
        if (mNews.isEmpty()) {
            return List.of();
        }
        mFloodedMs = nowMs;
        PeerMessage message = new PeerMessage.MemberUpdates(List.copyOf(mNews.values()));
        mNews.clear();
        return floodTargets(from, nowMs).stream().map(to -> new PeerSend(to, message)).toList();
    }

    /** Returns the addresses that news from a member is passed on to. */
    public List<PeerAddress> floodTargets(InstanceId from, long nowMs) {
        Set<PeerAddress> targets = new LinkedHashSet<>();
        neighbours().stream()
                .filter(member -> !member.id().equals(from))
                .map(PeerAddress::of)
                .forEach(targets::add);
        long recentMs = nowMs - mSettings.suspectAfterMs();
        mContacts.forEach(
                (id, contact) -> {
                    Member member = mMembers.get(id);
                    if (contact.mWatchesUsMs > recentMs && member != null && !id.equals(from)) {
                        targets.add(PeerAddress.of(member));
                    }
                });
        return List.copyOf(targets);
    }

    private List<Member> neighbours() {
        if (mNeighboursStale) {
            mNeighbours = chooseNeighbours();
            mNeighboursStale = false;
        }
        return mNeighbours.stream().map(member -> mMembers.get(member.id())).toList();
    }

    private List<Member> chooseNeighbours() {
        List<Member> others =
                mMembers.values().stream()
                        .filter(member -> !member.id().equals(mSelf.id()))
                        .filter(member -> member.state() != MemberState.DEAD)
                        .toList();
        if (others.size() <= mSettings.neighbours()) {
            return others;
        }
        long position = position(mSelf);
        Comparator<Member> bySuccession =
                Comparator.comparingLong(member -> (position(member) - position) & Long.MAX_VALUE);
        Set<Member> chosen = new LinkedHashSet<>();
        chosen.add(others.stream().min(bySuccession).orElseThrow());
        // One neighbour in the region, so that a region that is cut off does not fall apart.
        others.stream()
                .filter(member -> member.region().equals(mSelf.region()))
                .min(bySuccession)
                .ifPresent(chosen::add);
        Rendezvous.rank(mSelf.id().value(), others, member -> member.id().value()).stream()
                .filter(member -> !chosen.contains(member))
                .limit(Math.max(0, mSettings.neighbours() - chosen.size()))
                .toList()
                .forEach(chosen::add);
        return List.copyOf(chosen);
    }

    private static long position(Member member) {
        return Rendezvous.weight("ring", member.id().value());
    }

    private Contact contact(InstanceId id, long nowMs) {
        return mContacts.computeIfAbsent(id, key -> new Contact(nowMs));
    }

    /** Holds what this instance has observed of another one. */
    private static final class Contact {

        private static final long NOT_ASKED = -1;

        private long mStateSinceMs;
        private long mAskedSinceMs = NOT_ASKED;
        private long mWatchesUsMs = Long.MIN_VALUE / 2;
        private int mAccuseBackoff = 1;
        private boolean mHasLeft;

        Contact(long nowMs) {
            mStateSinceMs = nowMs;
        }

        void noteAsked(long nowMs) {
            if (mAskedSinceMs == NOT_ASKED) {
                mAskedSinceMs = nowMs;
            }
        }

        void noteAnswered() {
            mAskedSinceMs = NOT_ASKED;
        }

        long silentForMs(long nowMs) {
            return mAskedSinceMs == NOT_ASKED ? 0 : nowMs - mAskedSinceMs;
        }
    }
}
