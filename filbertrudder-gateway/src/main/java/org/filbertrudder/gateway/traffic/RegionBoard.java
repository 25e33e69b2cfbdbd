package org.filbertrudder.gateway.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.Supplier;
import org.filbertrudder.gateway.config.ServiceRule;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.gateway.control.GatewaySnapshot;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.peer.PeerNetwork;
import org.filbertrudder.policy.membership.PeerAddress;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.routing.EndpointTable;
import org.filbertrudder.policy.routing.RegionReach;

/**
 * Exchanges the load of endpoints inside the region and the wait of services between regions.
 *
 * <p>Each instance tells the others of its region what it has running. One of them, the first by
 * id, tells the other regions how long new requests would wait here.
 */
final class RegionBoard implements RegionReach {

    /** How often instances of a region tell each other their load, in milliseconds. */
    private static final long LOAD_INTERVAL_MS = 250;

    /** How often a region tells the others its wait, in milliseconds; bytes there are priced. */
    private static final long REGION_INTERVAL_MS = 500;

    /** The age after which a report is worth nothing, in milliseconds. */
    private static final long REPORT_LIFETIME_MS = 3_000;

    /** The wait that is assumed in a region that has not reported, in milliseconds. */
    private static final double UNKNOWN_DELAY_MS = 300;

    /** Added for each request sent there since the last report, in milliseconds. */
    private static final double SENT_DELAY_MS = 40;

    private final EndpointTable mTable;
    private final Supplier<GatewaySnapshot> mSnapshot;
    private final PeerNetwork mNetwork;
    private final Map<InstanceId, Reported> mLoads = new HashMap<>();
    private final Map<RegionId, RegionState> mRegions = new HashMap<>();
    private long mNextLoadMs;
    private long mNextRegionMs;
    private boolean mToldLoad;

    RegionBoard(EndpointTable table, Supplier<GatewaySnapshot> snapshot, PeerNetwork network) {
        mTable = table;
        mSnapshot = snapshot;
        mNetwork = network;
    }

    @Override
    public boolean reachable(RegionId region) {
        return !mSnapshot.get().workingIn(region).isEmpty();
    }

    @Override
    public double startDelayMs(ServiceId service, RegionId region) {
        RegionState state = mRegions.get(region);
        if (state == null || state.isOld()) {
            return UNKNOWN_DELAY_MS;
        }
        Long told = state.mDelaysMs.get(service);
        return told == null
                ? Double.MAX_VALUE
                : told + SENT_DELAY_MS * state.mSent.getOrDefault(service, 0);
    }

    /** Notes a request that is sent to another region. */
    void noteSent(ServiceId service, RegionId region) {
        mRegions.computeIfAbsent(region, key -> new RegionState())
                .mSent
                .merge(service, 1, Integer::sum);
    }

    /** Sends the reports that are due. */
    void tick(long nowMs) {
        GatewaySnapshot snapshot = mSnapshot.get();
        List<Member> here = snapshot.workingIn(snapshot.self().region());
        if (nowMs >= mNextLoadMs) {
            mNextLoadMs = nowMs + LOAD_INTERVAL_MS;
            tellLoad(snapshot, here);
        }
        if (nowMs >= mNextRegionMs) {
            mNextRegionMs = nowMs + REGION_INTERVAL_MS;
            boolean first = !here.isEmpty() && here.get(0).id().equals(snapshot.self().id());
            if (first && snapshot.configuration() != null) {
                tellRegions(snapshot, nowMs);
            }
        }
    }

    private void tellLoad(GatewaySnapshot snapshot, List<Member> here) {
        List<PeerMessage.EndpointLoad> loads = new ArrayList<>();
        for (EndpointState state : mTable.in(snapshot.self().region())) {
            if (state.inFlight() > 0) {
                loads.add(
                        new PeerMessage.EndpointLoad(
                                state.id(),
                                state.inFlight(),
                                state.ownPrefillMs(),
                                state.ownMemoryTokens()));
            }
        }
        if (loads.isEmpty() && !mToldLoad) {
            return;
        }
        mToldLoad = !loads.isEmpty();
        PeerMessage.LoadReport report = new PeerMessage.LoadReport(loads);
        here.stream()
                .filter(member -> !member.id().equals(snapshot.self().id()))
                .forEach(member -> mNetwork.send(forwardAddress(member), report));
    }

    private void tellRegions(GatewaySnapshot snapshot, long nowMs) {
        Map<ServiceId, Long> delays = new HashMap<>();
        for (ServiceRule service : snapshot.configuration().services()) {
            OptionalDouble delay =
                    mTable.of(service.id(), snapshot.self().region()).stream()
                            .filter(state -> state.hasRoom(nowMs) && !state.isCold(nowMs))
                            .mapToDouble(EndpointState::backlogMs)
                            .min();
            if (delay.isPresent()) {
                delays.put(service.id(), (long) delay.getAsDouble());
            }
        }
        Map<String, Long> named = new HashMap<>();
        delays.forEach((service, delay) -> named.put(service.value(), delay));
        PeerMessage.RegionReport report =
                new PeerMessage.RegionReport(
                        snapshot.self().region(), named, regionLoads(snapshot, nowMs));
        snapshot.members().stream()
                .filter(Member::takesWork)
                .filter(member -> !member.region().equals(snapshot.self().region()))
                .forEach(member -> mNetwork.send(forwardAddress(member), report));
    }

    private List<PeerMessage.EndpointLoad> regionLoads(GatewaySnapshot snapshot, long nowMs) {
        List<PeerMessage.EndpointLoad> loads = new ArrayList<>();
        for (EndpointState state : mTable.in(snapshot.self().region())) {
            if (state.load(nowMs) > 0) {
                loads.add(
                        new PeerMessage.EndpointLoad(
                                state.id(),
                                state.load(nowMs),
                                Math.rint(state.backlogMs()),
                                state.memoryTokens()));
            }
        }
        return loads;
    }

    private static PeerAddress forwardAddress(Member member) {
        return new PeerAddress(member.host(), member.forwardPort());
    }

    /** Handles a report; returns whether the message was one. */
    boolean handle(InstanceId from, PeerMessage message) {
        if (message instanceof PeerMessage.LoadReport report) {
            mLoads.put(from, new Reported(report, Clocks.steadyMs()));
            applyLoads();
            return true;
        }
        if (message instanceof PeerMessage.RegionReport report) {
            RegionState state = new RegionState();
            report.startDelaysMs()
                    .forEach((service, delay) -> state.mDelaysMs.put(ServiceId.of(service), delay));
            state.mReportedMs = Clocks.steadyMs();
            mRegions.put(report.region(), state);
            applyRegion(report);
            return true;
        }
        return false;
    }

    private void applyLoads() {
        long nowMs = Clocks.steadyMs();
        mLoads.values().removeIf(each -> nowMs - each.atMs() > REPORT_LIFETIME_MS);
        Map<EndpointId, PeerMessage.EndpointLoad> sums = new HashMap<>();
        for (Reported reported : mLoads.values()) {
            for (PeerMessage.EndpointLoad load : reported.report().loads()) {
                sums.merge(load.endpoint(), load, RegionBoard::sum);
            }
        }
        apply(mSnapshot.get().self().region(), sums);
    }

    private void applyRegion(PeerMessage.RegionReport report) {
        Map<EndpointId, PeerMessage.EndpointLoad> loads = new HashMap<>();
        report.loads().forEach(load -> loads.put(load.endpoint(), load));
        if (!report.region().equals(mSnapshot.get().self().region())) {
            apply(report.region(), loads);
        }
    }

    private void apply(RegionId region, Map<EndpointId, PeerMessage.EndpointLoad> loads) {
        long nowMs = Clocks.steadyMs();
        for (EndpointState state : mTable.in(region)) {
            PeerMessage.EndpointLoad load = loads.get(state.id());
            if (load == null) {
                state.reportedByOthers(0, 0, 0, nowMs);
            } else {
                state.reportedByOthers(
                        load.requests(), load.prefillMs(), load.memoryTokens(), nowMs);
            }
        }
    }

    private static PeerMessage.EndpointLoad sum(
            PeerMessage.EndpointLoad one, PeerMessage.EndpointLoad other) {
        return new PeerMessage.EndpointLoad(
                one.endpoint(),
                one.requests() + other.requests(),
                one.prefillMs() + other.prefillMs(),
                one.memoryTokens() + other.memoryTokens());
    }

    private record Reported(PeerMessage.LoadReport report, long atMs) {}

    /** Holds what another region has told, and what has been sent there since. */
    private static final class RegionState {

        private final Map<ServiceId, Long> mDelaysMs = new HashMap<>();
        private final Map<ServiceId, Integer> mSent = new HashMap<>();
        private long mReportedMs = Long.MIN_VALUE / 2;

        boolean isOld() {
            return Clocks.steadyMs() - mReportedMs > REPORT_LIFETIME_MS;
        }
    }
}
