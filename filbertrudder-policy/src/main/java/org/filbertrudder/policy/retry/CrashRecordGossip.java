package org.filbertrudder.policy.retry;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.CrashRecord;
import org.filbertrudder.model.message.ExchangeStep;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.GossipPartners;
import org.filbertrudder.policy.RendezvousHashing;

/**
 * Keeps the records of crashes alike at all instances: one that has started, was cut off or missed
 * a report learns what the others know.
 *
 * <p>An instance that has started asks some others at once. Later it compares digests with another
 * at intervals, and the two exchange their records if these differ.
 */
public final class CrashRecordGossip {

    /** The interval at which an instance with records compares digests. */
    private static final long EXCHANGE_INTERVAL_MS = 2_000;

    /** The same for an instance without records, which no other one may choose to ask. */
    private static final long IDLE_EXCHANGE_INTERVAL_MS = 10_000;

    /** The records of an exchange; in doubt those of requests with fewer crashes are left out. */
    public static final int MAX_RECORDS = 128;

    /** After this time, an instance that got no reply counts as informed. */
    public static final long START_TIMEOUT_MS = 1_000;

    /** The interval at which an instance that has started asks further instances. */
    private static final long START_INTERVAL_MS = 200;

    /** So many replies inform an instance if those that reply have just started as well. */
    private static final int START_REPLIES = 2;

    /** The least time between two messages with records, but for replies to started instances. */
    private static final long RECORDS_INTERVAL_MS = 5_000;

    private final GossipPartners mPartners;
    private final SuspectRequests mRequests;
    private final Set<InstanceId> mReplied = new HashSet<>();
    private long mStartedMs = Long.MIN_VALUE;
    private long mNextProbeMs = Long.MIN_VALUE;
    private long mNextRecordsMs = Long.MIN_VALUE;
    private boolean mInformed;

    /** Creates the gossip about the records of the given requests. */
    public CrashRecordGossip(InstanceId self, SuspectRequests requests) {
        mPartners = new GossipPartners(self);
        mRequests = requests;
    }

    /**
     * A message to another instance.
     *
     * @param to the receiver
     * @param message the message
     */
    public record Send(InstanceId to, PeerMessage.CrashRecords message) {}

    /** Returns whether this instance has heard from others, or there are none that reply. */
    public boolean isInformed() {
        return mInformed;
    }

    /** Returns whether another instance is to be asked. */
    public boolean isDue(long nowMs) {
        if (mStartedMs == Long.MIN_VALUE) {
            mStartedMs = nowMs;
        }
        mInformed |= nowMs - mStartedMs >= START_TIMEOUT_MS;
        return nowMs >= mNextProbeMs;
    }

    /**
     * Returns the message that is due, if any.
     *
     * @param others the other running instances
     */
    public Optional<Send> tick(Set<InstanceId> others, long nowMs) {
        if (others.isEmpty() || !isDue(nowMs)) {
            return Optional.empty();
        }
        mNextProbeMs = nowMs + probeIntervalMs();
        return Optional.of(
                new Send(
                        mPartners.nextAmong(others),
                        message(ExchangeStep.PROBE, digest(nowMs), List.of())));
    }

    private long probeIntervalMs() {
        if (!mInformed) {
            return START_INTERVAL_MS;
        }
        return mRequests.size() > 0 ? EXCHANGE_INTERVAL_MS : IDLE_EXCHANGE_INTERVAL_MS;
    }

    /** Handles a message of another instance and returns the answer to it, if any. */
    public Optional<PeerMessage.CrashRecords> handle(
            InstanceId from, PeerMessage.CrashRecords message, long nowMs) {
        message.records().stream()
                .filter(CrashRecordGossip::isValid)
                .forEach(crashRecord -> mRequests.merge(crashRecord, nowMs));
        long digest = digest(nowMs);
        boolean differs = digest != message.digest();
        if (message.step() == ExchangeStep.PROBE) {
            boolean sends = differs && (!message.informed() || maySendRecords(nowMs));
            return Optional.of(
                    message(ExchangeStep.REPLY, digest, sends ? records(nowMs) : List.of()));
        }
        noteReply(from, message.informed());
        return message.step() == ExchangeStep.REPLY && differs && maySendRecords(nowMs)
                ? Optional.of(message(ExchangeStep.END, digest, records(nowMs)))
                : Optional.empty();
    }

    private static boolean isValid(CrashRecord crashRecord) {
        return crashRecord != null
                && crashRecord.account() != null
                && crashRecord.bodySha256() != null
                && crashRecord.crashes().stream().allMatch(CrashRecordGossip::isValid)
                && crashRecord.cleared().stream().allMatch(CrashRecordGossip::isValid);
    }

    private static boolean isValid(CrashRecord.Crash crash) {
        return crash != null && crash.endpoint() != null;
    }

    private void noteReply(InstanceId from, boolean informed) {
        mReplied.add(from);
        mInformed |= informed || mReplied.size() >= Math.min(START_REPLIES, mPartners.others());
    }

    private boolean maySendRecords(long nowMs) {
        boolean may = nowMs >= mNextRecordsMs;
        if (may) {
            mNextRecordsMs = nowMs + RECORDS_INTERVAL_MS;
        }
        return may;
    }

    private PeerMessage.CrashRecords message(
            ExchangeStep step, long digest, List<CrashRecord> records) {
        return new PeerMessage.CrashRecords(step, mInformed, digest, records);
    }

    private List<CrashRecord> records(long nowMs) {
        return mRequests.records(MAX_RECORDS, nowMs);
    }

    /** Returns a digest of the records that does not depend on their order and age. */
    private long digest(long nowMs) {
        long digest = 0;
        for (CrashRecord each : records(nowMs)) {
            digest +=
                    RendezvousHashing.hash(
                            String.join(
                                    "|",
                                    each.account().value(),
                                    each.bodySha256(),
                                    endpointsOf(each.crashes()),
                                    endpointsOf(each.cleared())));
        }
        return digest;
    }

    /** Returns the endpoints of crashes; their times differ between instances for one crash. */
    private static String endpointsOf(List<CrashRecord.Crash> crashes) {
        return crashes.stream()
                .map(crash -> crash.endpoint().value())
                .sorted()
                .collect(Collectors.joining(","));
    }
}
