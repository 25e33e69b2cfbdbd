package org.filbertrudder.measure;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.peer.MessageCodec;
import org.filbertrudder.policy.membership.Membership;
import org.filbertrudder.policy.membership.MembershipSettings;
import org.filbertrudder.policy.membership.OutboundMessage;
import org.filbertrudder.policy.membership.PeerAddress;

/** Measures messages, bytes and the time to detect a failure by the number of members. */
final class MembershipCapacity implements Experiment {

    private static final int[] MEMBER_COUNTS = {8, 32, 128, 600, 1_800};
    private static final long MESSAGE_DELAY_MS = 80;
    private static final long WARM_UP_MS = 15_000;
    private static final long MEASUREMENT_MS = 20_000;
    private static final long TICK_MS = 100;
    private static final int SEED_COUNT = 3;
    private static final long START_MEASUREMENT_MS = 10_000;

    @Override
    public Table run(long seed) {
        Table table =
                new Table(
                        "members",
                        "messages_per_second",
                        "bytes_per_second",
                        "busiest_member_bytes_per_second",
                        "neighbours",
                        "all_detect_failure_ms",
                        "cpu_us_per_second",
                        "table_bytes_per_member");
        for (int memberCount : MEMBER_COUNTS) {
            Simulation simulation = new Simulation(memberCount, seed);
            simulation.measure(table);
        }
        return table;
    }

    /** Measures the cost of a simultaneous start of all members. */
    static void measureSimultaneousStart(
            Table table, int memberCount, long seed, MembershipSettings settings) {
        new Simulation(memberCount, seed, settings).measureSimultaneousStart(table);
    }

    /** Simulates members with a virtual clock; messages arrive after a fixed delay. */
    private static final class Simulation {

        private final int mMemberCount;
        private final List<Membership> mMemberships = new ArrayList<>();
        private final List<Member> mMemberRecords = new ArrayList<>();
        private final Map<PeerAddress, Integer> mIndexByAddress = new HashMap<>();
        private final PriorityQueue<Delivery> mInFlight = new PriorityQueue<>();
        private final long[] mBytesSent;
        private final Set<Integer> mFailedMembers = new TreeSet<>();
        private long mNowMs;
        private long mSequence;
        private long mMessagesSent;

        Simulation(int memberCount, long seed) {
            this(memberCount, seed, MembershipSettings.DEFAULT);
            for (int i = 0; i < memberCount; i++) {
                mMemberships
                        .get(i)
                        .handle(
                                new PeerMessage.MemberUpdates(mMemberRecords),
                                mMemberRecords.get((i + 1) % memberCount).id(),
                                0);
            }
        }

        /** Creates members that know only themselves. */
        Simulation(int memberCount, long seed, MembershipSettings settings) {
            mMemberCount = memberCount;
            mBytesSent = new long[memberCount];
            for (int i = 0; i < memberCount; i++) {
                mMemberRecords.add(createMember(i));
                mIndexByAddress.put(PeerAddress.of(mMemberRecords.get(i)), i);
                mMemberships.add(
                        new Membership(mMemberRecords.get(i), settings, new Random(seed + i)));
            }
        }

        /**
         * Starts all members at once and measures the start period, including the time until each
         * member knows all others.
         */
        void measureSimultaneousStart(Table table) {
            List<PeerAddress> seeds =
                    mMemberRecords.stream().limit(SEED_COUNT).map(PeerAddress::of).toList();
            for (int i = 0; i < mMemberCount; i++) {
                mMemberships.get(i).addSeeds(seeds);
                send(i, mMemberships.get(i).join(0));
            }
            long startNs = System.nanoTime();
            long allKnownMs = 0;
            while (mNowMs < START_MEASUREMENT_MS) {
                advance(TICK_MS);
                boolean allKnown =
                        mMemberships.stream()
                                .allMatch(
                                        membership -> membership.members().size() == mMemberCount);
                allKnownMs = allKnown && allKnownMs == 0 ? mNowMs : allKnownMs;
            }
            table.add(
                    mMemberCount,
                    (double) mMessagesSent / mMemberCount,
                    Arrays.stream(mBytesSent).sum() / 1e3 / mMemberCount,
                    Arrays.stream(mBytesSent).max().orElse(0) / 1e3,
                    allKnownMs,
                    (System.nanoTime() - startNs) / 1e6 / mMemberCount);
        }

        private static Member createMember(int number) {
            return new Member(
                    InstanceId.of("instance-" + number),
                    1_800_000_000_000L,
                    RegionId.of("region-" + number % 48),
                    FailureDomainId.of("domain-" + number % 118),
                    "10.0." + number / 250 + "." + number % 250,
                    8_082,
                    8_083,
                    8_080,
                    MemberState.LIVE);
        }

        void measure(Table table) {
            advance(WARM_UP_MS);
            Arrays.fill(mBytesSent, 0);
            mMessagesSent = 0;
            long startNs = System.nanoTime();
            advance(MEASUREMENT_MS);
            double cpuUs =
                    (System.nanoTime() - startNs) / 1e3 / mMemberCount / (MEASUREMENT_MS / 1e3);
            double seconds = MEASUREMENT_MS / 1e3;
            double messages = mMessagesSent / seconds / mMemberCount;
            double bytes = Arrays.stream(mBytesSent).sum() / seconds / mMemberCount;
            double busiestBytes = Arrays.stream(mBytesSent).max().orElse(0) / seconds;
            double neighbours =
                    mMemberships.stream()
                            .mapToInt(membership -> membership.floodTargets(null, mNowMs).size())
                            .average()
                            .orElse(0);
            long detectionMs = measureFailureDetectionMs();
            double tableBytes = tableBytesPerMember();
            table.add(
                    mMemberCount,
                    messages,
                    bytes,
                    busiestBytes,
                    neighbours,
                    detectionMs,
                    cpuUs,
                    tableBytes);
        }

        private double tableBytesPerMember() {
            long heapBefore = HeapUsage.usedBytes();
            Membership membership =
                    new Membership(createMember(0), MembershipSettings.DEFAULT, new Random(1));
            List<Member> members = new ArrayList<>();
            for (int i = 0; i < mMemberCount; i++) {
                members.add(createMember(i));
            }
            membership.handle(new PeerMessage.MemberUpdates(members), createMember(1).id(), 0);
            members.clear();
            double bytes = (double) (HeapUsage.usedBytes() - heapBefore) / mMemberCount;
            return membership.members().isEmpty() ? 0 : bytes;
        }

        private long measureFailureDetectionMs() {
            int failedMember = mMemberCount / 2;
            InstanceId id = mMemberships.get(failedMember).self().id();
            mFailedMembers.add(failedMember);
            long failedMs = mNowMs;
            while (!allDetectFailureOf(id) && mNowMs - failedMs < 60_000) {
                advance(TICK_MS);
            }
            return mNowMs - failedMs;
        }

        private boolean allDetectFailureOf(InstanceId id) {
            for (int i = 0; i < mMemberCount; i++) {
                boolean detected =
                        mMemberships
                                .get(i)
                                .member(id)
                                .map(member -> member.state() == MemberState.DEAD)
                                .orElse(true);
                if (!mFailedMembers.contains(i) && !detected) {
                    return false;
                }
            }
            return true;
        }

        private void advance(long durationMs) {
            long endMs = mNowMs + durationMs;
            while (mNowMs < endMs) {
                mNowMs += TICK_MS;
                deliver();
                for (int i = 0; i < mMemberCount; i++) {
                    if (!mFailedMembers.contains(i)) {
                        send(i, mMemberships.get(i).tick(1, mNowMs));
                    }
                }
            }
        }

        private void deliver() {
            while (!mInFlight.isEmpty() && mInFlight.peek().atMs() <= mNowMs) {
                Delivery delivery = mInFlight.poll();
                if (!mFailedMembers.contains(delivery.to())) {
                    handle(delivery);
                }
            }
        }

        private void handle(Delivery delivery) {
            Membership to = mMemberships.get(delivery.to());
            InstanceId from = mMemberships.get(delivery.from()).self().id();
            PeerMessage message = delivery.message();
            if (message instanceof PeerMessage.Heartbeat heartbeat) {
                send(delivery.to(), to.handle(heartbeat, 1, mNowMs));
            } else if (message instanceof PeerMessage.HeartbeatAck ack) {
                send(delivery.to(), to.handle(ack, mNowMs));
            } else if (message instanceof PeerMessage.MemberUpdates updates) {
                send(delivery.to(), to.handle(updates, from, mNowMs));
            } else if (message instanceof PeerMessage.MembersRequest) {
                PeerAddress senderAddress =
                        PeerAddress.of(mMemberships.get(delivery.from()).self());
                send(
                        delivery.to(),
                        List.of(
                                new OutboundMessage(
                                        senderAddress,
                                        new PeerMessage.MemberUpdates(to.members()))));
            }
        }

        private void send(int from, List<OutboundMessage> messages) {
            for (OutboundMessage outgoing : messages) {
                mBytesSent[from] += MessageCodec.encode(outgoing.message()).length();
                mMessagesSent++;
                mInFlight.add(
                        new Delivery(
                                mNowMs + MESSAGE_DELAY_MS,
                                mSequence++,
                                from,
                                mIndexByAddress.get(outgoing.to()),
                                outgoing.message()));
            }
        }
    }

    private record Delivery(long atMs, long sequence, int from, int to, PeerMessage message)
            implements Comparable<Delivery> {

        @Override
        public int compareTo(Delivery other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
