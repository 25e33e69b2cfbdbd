package org.filbertrudder.gateway.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Supplier;
import org.filbertrudder.gateway.config.ServiceRule;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.gateway.control.GatewaySnapshot;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.EndpointLimitReport;
import org.filbertrudder.model.message.EndpointLoad;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.peer.PeerNetwork;
import org.filbertrudder.policy.membership.PeerAddress;
import org.filbertrudder.policy.membership.StrengthRank;
import org.filbertrudder.policy.routing.EndpointLoadSums;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.routing.EndpointTable;
import org.filbertrudder.policy.routing.RegionAvailability;

/**
 * Exchanges endpoint loads within the region, and start delays of services and endpoint loads
 * between regions.
 *
 * <p>Each instance reports its running requests to the relay of its region, and the relay
 * distributes the sum. The relays of two regions report to each other how long new requests would
 * wait, and distribute the reports in their own region, so that only one copy of a report crosses
 * the link.
 */
final class LoadReporting implements RegionAvailability {

    /** The interval at which a changed load is reported, in milliseconds. */
    private static final long LOAD_INTERVAL_MS = 250;

    /** The interval at which an unchanged load is reported, in milliseconds. */
    private static final long MAX_REPORT_INTERVAL_MS = 1_000;

    /**
     * The time without a message from a relay after which the next candidate is used, in
     * milliseconds.
     */
    private static final long RELAY_TIMEOUT_MS = 2_200;

    /** The number of instances that take turns as relay while the preferred ones do not respond. */
    private static final int RELAY_CANDIDATES = 3;

    /**
     * The interval of reports to other regions, in milliseconds; traffic on those links is charged
     * by the byte.
     */
    private static final long REGION_INTERVAL_MS = 500;

    /** The start delay assumed in a region without a recent report, in milliseconds. */
    private static final double DEFAULT_START_DELAY_MS = 300;

    /**
     * The start delay added for each request sent to a region since its last report, in
     * milliseconds.
     */
    private static final double DELAY_PER_SENT_REQUEST_MS = 40;

    private final EndpointTable mTable;
    private final Supplier<GatewaySnapshot> mSnapshot;
    private final PeerNetwork mNetwork;
    private final EndpointLimitTracker mLimits;
    private final EndpointLoadSums mSums = new EndpointLoadSums();
    private final Map<RegionId, RegionState> mRegions = new HashMap<>();
    private Map<EndpointId, EndpointLoad> mLastReport = Map.of();
    private List<EndpointLoad> mLastSum = List.of();
    private Map<EndpointId, Double> mLastReportedLimits = Map.of();
    private Map<EndpointId, Double> mLastDistributedLimits = Map.of();
    private List<Member> mMembers = List.of();
    private List<Member> mRelayCandidates = List.of();
    private int mRelayIndex;
    private long mLastReportMs;
    private long mLastSumMs;
    private long mLastRelayMessageMs;
    private long mNextLoadMs;
    private long mNextRegionMs;

    LoadReporting(
            EndpointTable table,
            EndpointLimitTracker limits,
            Supplier<GatewaySnapshot> snapshot,
            PeerNetwork network) {
        mTable = table;
        mLimits = limits;
        mSnapshot = snapshot;
        mNetwork = network;
    }

    @Override
    public boolean isReachable(RegionId region) {
        return !mSnapshot.get().membersAcceptingWorkIn(region).isEmpty();
    }

    @Override
    public double expectedWaitMs(ServiceId service, RegionId region) {
        RegionState state = mRegions.get(region);
        if (state == null || state.isExpired()) {
            return DEFAULT_START_DELAY_MS;
        }
        Long reportedDelayMs = state.mDelaysMs.get(service);
        return reportedDelayMs == null
                ? Double.MAX_VALUE
                : reportedDelayMs
                        + DELAY_PER_SENT_REQUEST_MS
                                * state.mSentSinceReport.getOrDefault(service, 0);
    }

    /** Counts a request that is sent to another region. */
    void noteSent(ServiceId service, RegionId region) {
        mRegions.computeIfAbsent(region, key -> new RegionState())
                .mSentSinceReport
                .merge(service, 1, Integer::sum);
    }

    /** Sends the reports that are due. */
    void tick(long nowMs) {
        GatewaySnapshot snapshot = mSnapshot.get();
        if (nowMs >= mNextLoadMs) {
            mNextLoadMs = nowMs + LOAD_INTERVAL_MS;
            chooseRelay(snapshot, nowMs);
            reportLoad(snapshot, nowMs);
            distributeSum(snapshot, nowMs);
        }
        if (nowMs >= mNextRegionMs) {
            mNextRegionMs = nowMs + REGION_INTERVAL_MS;
            if (isFirstRelay(snapshot) && snapshot.configuration() != null) {
                reportToRegions(snapshot, nowMs);
            }
        }
    }

    private void chooseRelay(GatewaySnapshot snapshot, long nowMs) {
        if (mMembers != snapshot.members()) {
            mMembers = snapshot.members();
            List<Member> relays = relayCandidates(snapshot, snapshot.self().region());
            if (!relays.equals(mRelayCandidates)) {
                mRelayCandidates = relays;
                mRelayIndex = 0;
                mLastRelayMessageMs = nowMs;
            }
        }
        boolean relayTimedOut = nowMs - mLastRelayMessageMs > RELAY_TIMEOUT_MS;
        if (relayTimedOut && !mRelayCandidates.isEmpty()) {
            mRelayIndex = (mRelayIndex + 1) % mRelayCandidates.size();
            mLastRelayMessageMs = nowMs;
        }
    }

    /** Returns the candidates for the relay of a region in order of preference. */
    private static List<Member> relayCandidates(GatewaySnapshot snapshot, RegionId region) {
        return StrengthRank.first(
                region.value(), snapshot.membersAcceptingWorkIn(region), RELAY_CANDIDATES);
    }

    private boolean isFirstRelay(GatewaySnapshot snapshot) {
        return !mRelayCandidates.isEmpty() && isSelf(mRelayCandidates.get(0), snapshot);
    }

    private static boolean isSelf(Member member, GatewaySnapshot snapshot) {
        return member.id().equals(snapshot.self().id());
    }

    private void reportLoad(GatewaySnapshot snapshot, long nowMs) {
        Map<EndpointId, EndpointLoad> loads = new HashMap<>();
        for (EndpointState state : mTable.findByRegion(snapshot.self().region())) {
            if (state.inFlight() > 0) {
                loads.put(
                        state.id(),
                        new EndpointLoad(
                                state.id(),
                                state.inFlight(),
                                Math.rint(state.ownPrefillMs()),
                                state.ownMemoryTokens()));
            }
        }
        List<EndpointLimitReport> limits = mLimits.reports(snapshot.self().region());
        Map<EndpointId, Double> limitsByEndpoint = byEndpointLimit(limits);
        boolean due =
                !loads.equals(mLastReport)
                        || !limitsByEndpoint.equals(mLastReportedLimits)
                        || nowMs - mLastReportMs >= MAX_REPORT_INTERVAL_MS;
        if (!due || mRelayCandidates.isEmpty()) {
            return;
        }
        mLastReport = loads;
        mLastReportedLimits = limitsByEndpoint;
        mLastReportMs = nowMs;
        Member relay = mRelayCandidates.get(mRelayIndex);
        List<EndpointLoad> report = List.copyOf(loads.values());
        if (isSelf(relay, snapshot)) {
            mSums.storeReport(relay.id(), report, nowMs);
            mLastRelayMessageMs = nowMs;
        } else {
            mNetwork.send(
                    PeerAddress.ofForwards(relay),
                    new PeerMessage.InstanceLoadReport(report, limits));
        }
    }

    private static Map<EndpointId, Double> byEndpointLimit(List<EndpointLimitReport> limits) {
        Map<EndpointId, Double> limitsByEndpoint = new HashMap<>();
        limits.forEach(limit -> limitsByEndpoint.put(limit.endpoint(), limit.perSecond()));
        return limitsByEndpoint;
    }

    /** Sends the sum of the loads to all instances that report to this one. */
    private void distributeSum(GatewaySnapshot snapshot, long nowMs) {
        Set<InstanceId> reporters = mSums.reporters(nowMs);
        if (reporters.isEmpty() || mRelayCandidates.isEmpty()) {
            return;
        }
        Map<EndpointId, EndpointLoad> sums = mSums.sumByEndpoint(nowMs);
        if (isSelf(mRelayCandidates.get(mRelayIndex), snapshot)) {
            applySum(sums);
        }
        List<EndpointLoad> loads = List.copyOf(sums.values());
        List<EndpointLimitReport> limits = mLimits.reports(snapshot.self().region());
        Map<EndpointId, Double> limitsByEndpoint = byEndpointLimit(limits);
        boolean due =
                !loads.equals(mLastSum)
                        || !limitsByEndpoint.equals(mLastDistributedLimits)
                        || nowMs - mLastSumMs >= MAX_REPORT_INTERVAL_MS;
        if (due) {
            mLastSum = loads;
            mLastDistributedLimits = limitsByEndpoint;
            mLastSumMs = nowMs;
            sendTo(reporters, new PeerMessage.RegionLoadSum(loads, limits), snapshot);
        }
    }

    private void sendTo(Set<InstanceId> reporters, PeerMessage message, GatewaySnapshot snapshot) {
        List<PeerAddress> addresses = new ArrayList<>();
        for (Member member : snapshot.members()) {
            if (reporters.contains(member.id()) && !isSelf(member, snapshot)) {
                addresses.add(PeerAddress.ofForwards(member));
            }
        }
        mNetwork.send(addresses, message);
    }

    private void reportToRegions(GatewaySnapshot snapshot, long nowMs) {
        Map<ServiceId, Long> delays = new HashMap<>();
        for (ServiceRule service : snapshot.configuration().services()) {
            OptionalDouble delay =
                    mTable.findByService(service.id(), snapshot.self().region()).stream()
                            .filter(state -> state.canAcceptRequest(nowMs) && !state.isCold(nowMs))
                            .mapToDouble(EndpointState::prefillBacklogMs)
                            .min();
            if (delay.isPresent()) {
                delays.put(service.id(), (long) delay.getAsDouble());
            }
        }
        Map<String, Long> delaysByName = new HashMap<>();
        delays.forEach((service, delay) -> delaysByName.put(service.value(), delay));
        PeerMessage.RegionReport report =
                new PeerMessage.RegionReport(
                        snapshot.self().region(),
                        delaysByName,
                        regionLoads(snapshot, nowMs),
                        mLimits.reports(snapshot.self().region()));
        List<PeerAddress> relays =
                snapshot.members().stream()
                        .map(Member::region)
                        .distinct()
                        .filter(region -> !region.equals(snapshot.self().region()))
                        .flatMap(region -> relayCandidates(snapshot, region).stream().limit(1))
                        .map(PeerAddress::ofForwards)
                        .toList();
        mNetwork.send(relays, report);
    }

    private List<EndpointLoad> regionLoads(GatewaySnapshot snapshot, long nowMs) {
        List<EndpointLoad> loads = new ArrayList<>();
        for (EndpointState state : mTable.findByRegion(snapshot.self().region())) {
            if (state.load(nowMs) > 0) {
                loads.add(
                        new EndpointLoad(
                                state.id(),
                                state.load(nowMs),
                                Math.rint(state.prefillBacklogMs()),
                                state.memoryTokens()));
            }
        }
        return loads;
    }

    /** Handles a load report; returns false for other messages. */
    boolean handle(Member from, PeerMessage message) {
        if (message instanceof PeerMessage.InstanceLoadReport report) {
            mSums.storeReport(from.id(), report.loads(), Clocks.steadyMs());
            mLimits.applyReports(from.id(), report.limits());
            return true;
        }
        if (message instanceof PeerMessage.RegionLoadSum sum) {
            mLastRelayMessageMs = Clocks.steadyMs();
            applySum(byEndpoint(sum.loads()));
            mLimits.applyReports(from.id(), sum.limits());
            return true;
        }
        if (message instanceof PeerMessage.RegionReport report) {
            RegionState state = new RegionState();
            report.startDelaysMs()
                    .forEach((service, delay) -> state.mDelaysMs.put(ServiceId.of(service), delay));
            state.mReportedMs = Clocks.steadyMs();
            mRegions.put(report.region(), state);
            applyRegionReport(report);
            mLimits.applyReports(from.id(), report.limits());
            // Only reports received directly from their region are distributed, to prevent loops.
            if (from.region().equals(report.region())) {
                sendTo(mSums.reporters(Clocks.steadyMs()), report, mSnapshot.get());
            }
            return true;
        }
        return false;
    }

    private void applySum(Map<EndpointId, EndpointLoad> sums) {
        Map<EndpointId, EndpointLoad> othersLoads = new HashMap<>();
        sums.forEach(
                (id, sum) ->
                        othersLoads.put(
                                id, EndpointLoadSums.loadOfOthers(sum, mLastReport.get(id))));
        applyLoads(mSnapshot.get().self().region(), othersLoads);
    }

    private void applyRegionReport(PeerMessage.RegionReport report) {
        if (!report.region().equals(mSnapshot.get().self().region())) {
            applyLoads(report.region(), byEndpoint(report.loads()));
        }
    }

    private static Map<EndpointId, EndpointLoad> byEndpoint(List<EndpointLoad> loads) {
        Map<EndpointId, EndpointLoad> loadsByEndpoint = new HashMap<>();
        loads.forEach(load -> loadsByEndpoint.put(load.endpoint(), load));
        return loadsByEndpoint;
    }

    private void applyLoads(RegionId region, Map<EndpointId, EndpointLoad> loads) {
        long nowMs = Clocks.steadyMs();
        for (EndpointState state : mTable.findByRegion(region)) {
            EndpointLoad load = loads.get(state.id());
            if (load == null) {
                state.recordLoadOfOthers(0, 0, 0, nowMs);
            } else {
                state.recordLoadOfOthers(
                        load.requests(), load.prefillMs(), load.memoryTokens(), nowMs);
            }
        }
    }

    /** Holds the last report of another region and the number of requests sent there since. */
    private static final class RegionState {

        private final Map<ServiceId, Long> mDelaysMs = new HashMap<>();
        private final Map<ServiceId, Integer> mSentSinceReport = new HashMap<>();
        private long mReportedMs = Long.MIN_VALUE / 2;

        boolean isExpired() {
            return Clocks.steadyMs() - mReportedMs > EndpointLoadSums.REPORT_LIFETIME_MS;
        }
    }
}
