package org.filbertrudder.policy.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;

/**
 * Members with a virtual clock, whose links can be cut in each direction, and that can be frozen or
 * killed.
 */
final class SimulatedMembers {

    static final long STEP_MS = 50;
    static final long MAX_DELAY_MS = 80;
    private static final long MIN_DELAY_MS = 5;

    private final List<Membership> mMemberships = new ArrayList<>();
    private final Map<PeerAddress, Integer> mIndexByAddress = new HashMap<>();
    private final PriorityQueue<Delivery> mInFlight = new PriorityQueue<>();
    private final List<List<Delivery>> mUnread = new ArrayList<>();
    private final Set<Link> mCut = new HashSet<>();
    private final Set<Integer> mFrozen = new HashSet<>();
    private final Set<Integer> mKilled = new HashSet<>();
    private final Random mRandom;
    private long mNowMs;
    private long mMessages;

    /** Creates members that know each other. */
    SimulatedMembers(int count, MembershipSettings settings, long seed) {
        mRandom = new Random(seed);
        List<Member> records = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            records.add(record(i));
            mIndexByAddress.put(PeerAddress.of(records.get(i)), i);
            mMemberships.add(new Membership(records.get(i), settings, new Random(seed * 31 + i)));
            mUnread.add(new ArrayList<>());
        }
        for (int i = 0; i < count; i++) {
            mMemberships
                    .get(i)
                    .handle(
                            new PeerMessage.MemberUpdates(records),
                            records.get((i + 1) % count).id(),
                            0);
        }
    }

    static InstanceId id(int index) {
        return InstanceId.of("instance-" + index);
    }

    private static Member record(int index) {
        return new Member(
                id(index),
                100,
                RegionId.of("region-" + index % 2),
                FailureDomainId.of("domain-" + index % 3),
                "127.0.0.1",
                1_000 + index,
                2_000 + index,
                3_000 + index,
                MemberState.LIVE);
    }

    int size() {
        return mMemberships.size();
    }

    long nowMs() {
        return mNowMs;
    }

    /** Returns how many messages were sent so far. */
    long messages() {
        return mMessages;
    }

    Membership membership(int index) {
        return mMemberships.get(index);
    }

    /** Returns the state of a member in the table of another one; empty tables count as DEAD. */
    MemberState state(int of, int at) {
        return mMemberships.get(at).member(id(of)).map(Member::state).orElse(MemberState.DEAD);
    }

    void setCut(int from, int to, boolean cut) {
        if (cut) {
            mCut.add(new Link(from, to));
        } else {
            mCut.remove(new Link(from, to));
        }
    }

    boolean isCut(int from, int to) {
        return mCut.contains(new Link(from, to));
    }

    void healAll() {
        mCut.clear();
    }

    /** Freezes or continues a member; messages to a frozen member stay unread. */
    void setFrozen(int index, boolean frozen) {
        if (frozen) {
            mFrozen.add(index);
            return;
        }
        mFrozen.remove(index);
        List<Delivery> unread = List.copyOf(mUnread.get(index));
        mUnread.get(index).clear();
        if (mRandom.nextBoolean()) {
            tick(index);
        }
        unread.forEach(this::deliver);
    }

    boolean isFrozen(int index) {
        return mFrozen.contains(index);
    }

    void kill(int index) {
        mKilled.add(index);
    }

    boolean isKilled(int index) {
        return mKilled.contains(index);
    }

    boolean isRunning(int index) {
        return !mKilled.contains(index) && !mFrozen.contains(index);
    }

    /** Lets the time pass; after each step, the action is called. */
    void advance(long durationMs, Runnable afterStep) {
        long untilMs = mNowMs + durationMs;
        while (mNowMs < untilMs) {
            mNowMs += STEP_MS;
            while (!mInFlight.isEmpty() && mInFlight.peek().atMs <= mNowMs) {
                deliver(mInFlight.poll());
            }
            for (int i = 0; i < mMemberships.size(); i++) {
                if (isRunning(i)) {
                    tick(i);
                }
            }
            afterStep.run();
        }
    }

    private void tick(int index) {
        send(index, mMemberships.get(index).tick(1, mNowMs));
    }

    private void deliver(Delivery delivery) {
        int to = delivery.to;
        if (mKilled.contains(to)) {
            return;
        }
        if (mFrozen.contains(to)) {
            mUnread.get(to).add(delivery);
            return;
        }
        Membership receiver = mMemberships.get(to);
        PeerMessage message = delivery.message;
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            send(to, receiver.handle(heartbeat, 1, mNowMs));
        } else if (message instanceof PeerMessage.HeartbeatAck ack) {
            send(to, receiver.handle(ack, mNowMs));
        } else if (message instanceof PeerMessage.MemberUpdates updates) {
            send(to, receiver.handle(updates, id(delivery.from), mNowMs));
        } else if (message instanceof PeerMessage.MembersRequest) {
            transmit(to, delivery.from, new PeerMessage.MemberUpdates(receiver.members()));
        }
    }

    private void send(int from, List<OutboundMessage> messages) {
        for (OutboundMessage outbound : messages) {
            transmit(from, mIndexByAddress.get(outbound.to()), outbound.message());
        }
    }

    private void transmit(int from, int to, PeerMessage message) {
        mMessages++;
        if (!isCut(from, to)) {
            long delayMs = MIN_DELAY_MS + mRandom.nextLong(MAX_DELAY_MS - MIN_DELAY_MS);
            mInFlight.add(new Delivery(mNowMs + delayMs, mMessages, from, to, message));
        }
    }

    private record Link(int from, int to) {}

    private record Delivery(long atMs, long sequence, int from, int to, PeerMessage message)
            implements Comparable<Delivery> {

        @Override
        public int compareTo(Delivery other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
