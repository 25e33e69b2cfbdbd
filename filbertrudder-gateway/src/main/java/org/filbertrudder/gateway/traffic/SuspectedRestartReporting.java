package org.filbertrudder.gateway.traffic;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.gateway.control.GatewaySnapshot;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.SuspectedRestart;
import org.filbertrudder.peer.PeerNetwork;
import org.filbertrudder.policy.membership.PeerAddress;

/**
 * Tells the instances of the region that have just started which endpoints may have restarted.
 *
 * <p>An instance that starts knows the endpoints from a list that may be older than their restart,
 * and has not seen them refuse connections. Without the reports it would send its full load to an
 * endpoint that is cold.
 */
final class SuspectedRestartReporting {

    private static final ComponentLogger LOG = ComponentLogger.of("endpoints");

    /** How long an instance that has started is sent reports, in milliseconds. */
    private static final long START_MS = 3_000;

    private static final long REPORT_INTERVAL_MS = 500;

    /** The highest valid age in a report, in milliseconds. */
    static final long MAX_AGE_MS = 60_000;

    private static final int MAX_PENDING_REPORTS = 1_000;

    private final EndpointFailureDetector mFailureDetector;
    private final Supplier<GatewaySnapshot> mSnapshot;
    private final PeerNetwork mNetwork;
    private final Map<InstanceId, Started> mStarted = new HashMap<>();
    private final Map<EndpointId, PendingReport> mPending = new HashMap<>();
    private List<Member> mMembers = List.of();

    SuspectedRestartReporting(
            EndpointFailureDetector failureDetector,
            Supplier<GatewaySnapshot> snapshot,
            PeerNetwork network) {
        mFailureDetector = failureDetector;
        mSnapshot = snapshot;
        mNetwork = network;
    }

    /** Sends the reports that are due, and applies the received ones whose endpoint is known. */
    void tick(long nowMs) {
        GatewaySnapshot snapshot = mSnapshot.get();
        if (mMembers != snapshot.members()) {
            mMembers = snapshot.members();
            noteStarts(snapshot, nowMs);
        }
        applyPending(nowMs);
        List<Started> due =
                mStarted.values().stream().filter(started -> started.isDue(nowMs)).toList();
        if (due.isEmpty()) {
            return;
        }
        List<SuspectedRestart> restarts = mFailureDetector.suspectedRestarts(nowMs);
        if (!restarts.isEmpty()) {
            mNetwork.send(
                    due.stream().map(started -> started.mAddress).toList(),
                    new PeerMessage.SuspectedRestarts(restarts));
            due.forEach(started -> started.mNextReportMs = nowMs + REPORT_INTERVAL_MS);
        }
    }

    private void noteStarts(GatewaySnapshot snapshot, long nowMs) {
        Set<InstanceId> live = new HashSet<>();
        for (Member member : snapshot.members()) {
            boolean receives =
                    member.state() == MemberState.LIVE
                            && member.region().equals(snapshot.self().region())
                            && !member.id().equals(snapshot.self().id());
            if (receives) {
                live.add(member.id());
                Started known = mStarted.get(member.id());
                if (known == null || known.mIncarnation != member.incarnation()) {
                    mStarted.put(member.id(), new Started(member, nowMs));
                }
            }
        }
        mStarted.keySet().retainAll(live);
    }

    /** Handles a report; returns false for other messages. */
    boolean handle(Member from, PeerMessage message) {
        if (!(message instanceof PeerMessage.SuspectedRestarts report)) {
            return false;
        }
        long nowMs = Clocks.steadyMs();
        for (SuspectedRestart restart : report.restarts()) {
            if (!isValid(restart)) {
                LOG.warn(
                        "A malformed report of a suspected restart is ignored.",
                        LogField.of("from", from.id()));
            } else if (mPending.size() < MAX_PENDING_REPORTS
                    || mPending.containsKey(restart.endpoint())) {
                mPending.put(restart.endpoint(), new PendingReport(from.id(), restart, nowMs));
            }
        }
        applyPending(nowMs);
        return true;
    }

    private static boolean isValid(SuspectedRestart restart) {
        if (restart == null || restart.endpoint() == null) {
            return false;
        }
        return restart.acceptedAgeMs() >= -1
                && restart.refusedAgeMs() >= Math.max(0, restart.acceptedAgeMs())
                && restart.refusedAgeMs() <= MAX_AGE_MS;
    }

    /** Applies the reports on endpoints that are known by now; to be called after each change. */
    void applyPending(long nowMs) {
        mPending.values()
                .removeIf(
                        report ->
                                mFailureDetector.adoptSuspicion(
                                                report.mFrom, report.mRestart, report.mReceivedMs)
                                        || nowMs - report.mReceivedMs > START_MS);
    }

    /** An instance that has started, as its incarnation shows. */
    private static final class Started {

        private final long mIncarnation;
        private final PeerAddress mAddress;
        private final long mNoticedMs;
        private long mNextReportMs;

        Started(Member member, long nowMs) {
            mIncarnation = member.incarnation();
            mAddress = PeerAddress.ofForwards(member);
            mNoticedMs = nowMs;
            mNextReportMs = nowMs;
        }

        boolean isDue(long nowMs) {
            return nowMs < mNoticedMs + START_MS && nowMs >= mNextReportMs;
        }
    }

    /** A report that waits until its endpoint is known. */
    private record PendingReport(InstanceId mFrom, SuspectedRestart mRestart, long mReceivedMs) {}
}
