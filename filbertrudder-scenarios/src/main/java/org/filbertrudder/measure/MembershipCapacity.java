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
import org.filbertrudder.policy.membership.PeerAddress;
import org.filbertrudder.policy.membership.PeerSend;

/** Measures messages, bytes and time to notice a failure as the number of members grows. */
final class MembershipCapacity implements Experiment {

    private static final int[] SIZES = {8, 32, 128, 600, 1_800};
    private static final long DELAY_MS = 80;
    private static final long WARM_UP_MS = 15_000;
    private static final long WINDOW_MS = 20_000;
    private static final long TICK_MS = 100;
    private static final int SEEDS = 3;
    private static final long START_WINDOW_MS = 10_000;

    @Override
    public Table run(long seed) {
        Table table =
                new Table(
                        "members",
                        "messages_per_second",
                        "bytes_per_second",
                        "busiest_bytes_per_second",
                        "neighbours",
                        "all_know_failure_ms",
                        "cpu_us_per_second",
                        "table_bytes_per_member");
        for (int size : SIZES) {
            Run run = new Run(size, seed);
            run.measure(table);
        }
        return table;
    }

    /** Measures what it costs when members of one size start at once. */
    static void measureStart(Table table, int size, long seed, MembershipSettings settings) {
        new Run(size, seed, settings).measureStart(table);
    }

    /** Runs members of one size under a virtual clock; messages arrive after a fixed delay. */
    private static final class Run {

        private final int mSize;
        private final List<Membership> mMembers = new ArrayList<>();
        private final List<Member> mAll = new ArrayList<>();
        private final Map<PeerAddress, Integer> mByAddress = new HashMap<>();
        private final PriorityQueue<Delivery> mInFlight = new PriorityQueue<>();
        private final long[] mBytes;
        private final Set<Integer> mDead = new TreeSet<>();
        private long mNowMs;
        private long mSequence;
        private long mMessages;

        Run(int size, long seed) {
            this(size, seed, MembershipSettings.DEFAULT);
            for (int i = 0; i < size; i++) {
                mMembers.get(i)
                        .handle(
                                new PeerMessage.MemberUpdates(mAll),
                                mAll.get((i + 1) % size).id(),
                                0);
            }
        }

        /** Creates members that know only themselves. */
        Run(int size, long seed, MembershipSettings settings) {
            mSize = size;
            mBytes = new long[size];
            for (int i = 0; i < size; i++) {
                mAll.add(member(i));
                mByAddress.put(PeerAddress.of(mAll.get(i)), i);
                mMembers.add(new Membership(mAll.get(i), settings, new Random(seed + i)));
            }
        }

        /** Starts all members within a moment and measures until all know all. */
        void measureStart(Table table) {
            List<PeerAddress> seeds = mAll.stream().limit(SEEDS).map(PeerAddress::of).toList();
            for (int i = 0; i < mSize; i++) {
                mMembers.get(i).addSeeds(seeds);
                send(i, mMembers.get(i).join(0));
            }
            long startNs = System.nanoTime();
            long knownMs = 0;
            while (mNowMs < START_WINDOW_MS) {
                advance(TICK_MS);
                boolean all = mMembers.stream().allMatch(m -> m.members().size() == mSize);
                knownMs = all && knownMs == 0 ? mNowMs : knownMs;
            }
            table.add(
                    mSize,
                    (double) mMessages / mSize,
                    Arrays.stream(mBytes).sum() / 1e3 / mSize,
                    Arrays.stream(mBytes).max().orElse(0) / 1e3,
                    knownMs,
                    (System.nanoTime() - startNs) / 1e6 / mSize);
        }

        private static Member member(int number) {
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
            Arrays.fill(mBytes, 0);
            mMessages = 0;
            long startNs = System.nanoTime();
            advance(WINDOW_MS);
            double cpuUs = (System.nanoTime() - startNs) / 1e3 / mSize / (WINDOW_MS / 1e3);
            double seconds = WINDOW_MS / 1e3;
            double messages = mMessages / seconds / mSize;
            double bytes = Arrays.stream(mBytes).sum() / seconds / mSize;
            double busiest = Arrays.stream(mBytes).max().orElse(0) / seconds;
            double neighbours =
                    mMembers.stream()
                            .mapToInt(each -> each.floodTargets(null, mNowMs).size())
                            .average()
                            .orElse(0);
            long noticed = noticeFailure();
            double tableBytes = tableBytesPerMember();
            table.add(mSize, messages, bytes, busiest, neighbours, noticed, cpuUs, tableBytes);
        }

        private double tableBytesPerMember() {
            long before = HeapGauge.usedBytes();
            Membership membership =
                    new Membership(member(0), MembershipSettings.DEFAULT, new Random(1));
            List<Member> fresh = new ArrayList<>();
            for (int i = 0; i < mSize; i++) {
                fresh.add(member(i));
            }
            membership.handle(new PeerMessage.MemberUpdates(fresh), member(1).id(), 0);
            fresh.clear();
            double bytes = (double) (HeapGauge.usedBytes() - before) / mSize;
            return membership.members().isEmpty() ? 0 : bytes;
        }

        private long noticeFailure() {
            int victim = mSize / 2;
            InstanceId id = mMembers.get(victim).self().id();
            mDead.add(victim);
            long failedMs = mNowMs;
            while (!allKnow(id) && mNowMs - failedMs < 60_000) {
                advance(TICK_MS);
            }
            return mNowMs - failedMs;
        }

        private boolean allKnow(InstanceId id) {
            for (int i = 0; i < mSize; i++) {
                boolean knows =
                        mMembers.get(i)
                                .member(id)
                                .map(member -> member.state() == MemberState.DEAD)
                                .orElse(true);
                if (!mDead.contains(i) && !knows) {
                    return false;
                }
            }
            return true;
        }

        private void advance(long durationMs) {
            long untilMs = mNowMs + durationMs;
            while (mNowMs < untilMs) {
                mNowMs += TICK_MS;
                deliver();
                for (int i = 0; i < mSize; i++) {
                    if (!mDead.contains(i)) {
                        send(i, mMembers.get(i).tick(1, mNowMs));
                    }
                }
            }
        }

        private void deliver() {
            while (!mInFlight.isEmpty() && mInFlight.peek().atMs() <= mNowMs) {
                Delivery delivery = mInFlight.poll();
                if (!mDead.contains(delivery.to())) {
                    handle(delivery);
                }
            }
        }

        private void handle(Delivery delivery) {
            Membership to = mMembers.get(delivery.to());
            InstanceId from = mMembers.get(delivery.from()).self().id();
            PeerMessage message = delivery.message();
            if (message instanceof PeerMessage.Heartbeat heartbeat) {
                send(delivery.to(), to.handle(heartbeat, 1, mNowMs));
            } else if (message instanceof PeerMessage.HeartbeatAck ack) {
                send(delivery.to(), to.handle(ack, mNowMs));
            } else if (message instanceof PeerMessage.MemberUpdates updates) {
                send(delivery.to(), to.handle(updates, from, mNowMs));
            } else if (message instanceof PeerMessage.MembersRequest) {
                PeerAddress back = PeerAddress.of(mMembers.get(delivery.from()).self());
                send(
                        delivery.to(),
                        List.of(new PeerSend(back, new PeerMessage.MemberUpdates(to.members()))));
            }
        }

        private void send(int from, List<PeerSend> sends) {
            for (PeerSend each : sends) {
                mBytes[from] += MessageCodec.encode(each.message()).length();
                mMessages++;
                mInFlight.add(
                        new Delivery(
                                mNowMs + DELAY_MS,
                                mSequence++,
                                from,
                                mByAddress.get(each.to()),
                                each.message()));
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
