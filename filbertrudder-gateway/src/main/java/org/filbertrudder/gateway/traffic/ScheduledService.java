package org.filbertrudder.gateway.traffic;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.gateway.config.EngineCapacity;
import org.filbertrudder.gateway.config.ServiceRule;
import org.filbertrudder.gateway.control.GatewaySnapshot;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.StartRecords;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.routing.RegionGraph;
import org.filbertrudder.policy.scheduling.EngineDescription;
import org.filbertrudder.policy.scheduling.OpenStart;
import org.filbertrudder.policy.scheduling.RegionScheduler;
import org.filbertrudder.policy.scheduling.SpareRoom;
import org.filbertrudder.policy.scheduling.StartDecision;
import org.filbertrudder.policy.scheduling.StartId;
import org.filbertrudder.policy.scheduling.StartRequest;

/** Connects the scheduler of one service to the instances that ask it. */
final class ScheduledService {

    private static final ComponentLogger LOG = ComponentLogger.of("scheduling");

    /** The minimum interval between two passes over the waiting requests, in milliseconds. */
    private static final long PASS_INTERVAL_MS = 5;

    private static final long OFFER_INTERVAL_MS = 250;

    /** The instances of another region that get offers: the scheduler and its replacement. */
    private static final int OFFER_RECEIVERS = 2;

    /** The maximum number of waiting requests; a region receives about 2,000 a second. */
    private static final int MAX_WAITING = 20_000;

    private static final long TICK_MS = 100;

    private final ServiceId mService;
    private final StartContext mContext;
    private final StartNetwork mNetwork;
    private final RegionGraph mRegions;
    private final RegionId mRegion;
    private final SpareRoom mSpareRoom;
    private final RegionScheduler mScheduler;
    private final Map<StartId, Waiting> mWaiting = new LinkedHashMap<>();
    private final Map<InstanceId, StartSender> mSenders = new HashMap<>();
    private boolean mPassScheduled;
    private boolean mPassFailed;
    private boolean mClosed;
    private long mLastPassMs = Long.MIN_VALUE / 2;
    private long mLastInputMs;
    private long mLastTickMs;
    private long mNextOfferMs;
    private long mWaitingTokens;

    ScheduledService(
            ServiceId service, StartContext context, RegionGraph regions, StartNetwork network) {
        mService = service;
        mContext = context;
        mNetwork = network;
        mRegions = regions;
        mRegion = context.snapshot().get().self().region();
        List<RegionId> others = regions.nearestTo(mRegion);
        double oneWayDelayMs =
                others.stream().mapToDouble(to -> regions.delayMs(mRegion, to)).max().orElse(0);
        mSpareRoom = new SpareRoom(mRegion, others, oneWayDelayMs);
        mScheduler = new RegionScheduler(service, mRegion, mSpareRoom);
        long nowMs = context.nowMs();
        mLastInputMs = nowMs;
        mLastTickMs = nowMs;
        mScheduler.setEngines(engines(nowMs), nowMs);
    }

    private Collection<EngineDescription> engines(long nowMs) {
        long memoryTokens =
                mContext.snapshot()
                        .get()
                        .configuration()
                        .service(mService)
                        .flatMap(ServiceRule::engine)
                        .map(EngineCapacity::memoryTokens)
                        .orElse(Long.MAX_VALUE);
        List<EngineDescription> engines = new ArrayList<>();
        for (EndpointState state : mContext.table().findByService(mService, mRegion)) {
            engines.add(
                    new EngineDescription(
                            state.id(),
                            state.endpoint().slots(),
                            memoryTokens,
                            StartServer.isSchedulable(state, nowMs),
                            state.isFailureRateHigh(nowMs)));
        }
        return engines;
    }

    /** Adds the requests of an instance. */
    void submit(InstanceId from, List<StartRecords.Request> records, Consumer<PeerMessage> reply) {
        long nowMs = mContext.nowMs();
        mLastInputMs = nowMs;
        StartSender sender = findSender(from, reply, nowMs);
        int malformed = 0;
        for (StartRecords.Request record : records) {
            Optional<StartRequest> request = StartConversion.request(from, record);
            if (request.isEmpty() || mWaiting.size() >= MAX_WAITING) {
                malformed++;
            } else {
                submit(sender, request.get(), nowMs);
            }
        }
        if (malformed > 0) {
            LOG.warn(
                    "Requests for starts are ignored: malformed, or too many wait.",
                    LogField.of("from", from),
                    LogField.of("requests", malformed),
                    LogField.of("waiting", mWaiting.size()));
        }
        schedulePass();
    }

    private void submit(StartSender sender, StartRequest request, long nowMs) {
        Waiting waiting =
                new Waiting(
                        request.forwarded(),
                        request.prompt().promptTokens(),
                        nowMs,
                        mWaiting.size(),
                        mWaitingTokens);
        if (mWaiting.putIfAbsent(request.id(), waiting) == null) {
            sender.addWaiting(1);
            mWaitingTokens += waiting.tokens();
        }
        mScheduler.submit(request, nowMs);
    }

    private StartSender findSender(InstanceId id, Consumer<PeerMessage> reply, long nowMs) {
        StartSender sender = mSenders.computeIfAbsent(id, key -> new StartSender(mService, nowMs));
        sender.setReply(reply);
        return sender;
    }

    /** Applies the report of an instance. */
    void report(InstanceId from, PeerMessage.StartReport report, Consumer<PeerMessage> reply) {
        long nowMs = mContext.nowMs();
        StartSender sender = findSender(from, reply, nowMs);
        int malformed = 0;
        for (Long number : report.begun()) {
            if (number != null) {
                mScheduler.begun(new StartId(from, number), nowMs);
            }
        }
        for (StartRecords.Ended ended : report.ended()) {
            if (StartConversion.isValid(ended)) {
                mScheduler.ended(new StartId(from, ended.number()), ended.events(), nowMs);
            } else {
                malformed++;
            }
        }
        for (Long number : report.rejected()) {
            if (number != null) {
                mScheduler.rejected(new StartId(from, number), nowMs);
            }
        }
        for (Long number : report.cancelled()) {
            if (number != null) {
                cancel(sender, new StartId(from, number));
            }
        }
        malformed += recordLoads(from, report, nowMs);
        if (report.full()) {
            malformed += replaceOpen(sender, from, report.open(), nowMs);
        }
        if (malformed > 0) {
            LOG.warn(
                    "Malformed parts of a report on starts are ignored.",
                    LogField.of("from", from),
                    LogField.of("parts", malformed));
        }
        schedulePass();
    }

    private void cancel(StartSender sender, StartId id) {
        removeWaiting(sender, id);
        mScheduler.cancel(id);
    }

    private Waiting removeWaiting(StartSender sender, StartId id) {
        Waiting waiting = mWaiting.remove(id);
        if (waiting != null) {
            sender.addWaiting(-1);
            mWaitingTokens -= waiting.tokens();
        }
        return waiting;
    }

    private int recordLoads(InstanceId from, PeerMessage.StartReport report, long nowMs) {
        int malformed = 0;
        for (StartRecords.Statement each : report.statements()) {
            if (StartConversion.isValid(each)) {
                mScheduler.recordStatement(
                        each.endpoint(),
                        each.running(),
                        each.waiting(),
                        StartConversion.pacePercent(each),
                        nowMs);
            } else {
                malformed++;
            }
        }
        for (StartRecords.Streams each : report.streams()) {
            if (StartConversion.isValid(each)) {
                mScheduler.recordStreams(
                        from, each.endpoint(), each.msPerEvent(), each.missingMs(), nowMs);
            } else {
                malformed++;
            }
        }
        return malformed;
    }

    /** Replaces the open requests; one that has started elsewhere no longer waits. */
    private int replaceOpen(
            StartSender sender, InstanceId from, List<StartRecords.Open> records, long nowMs) {
        sender.noteFullReport(nowMs);
        int malformed = 0;
        List<OpenStart> open = new ArrayList<>(records.size());
        for (StartRecords.Open record : records) {
            Optional<OpenStart> each = StartConversion.open(from, record);
            each.ifPresent(open::add);
            each.ifPresent(start -> removeWaiting(sender, start.id()));
            malformed += each.isPresent() ? 0 : 1;
        }
        mScheduler.replaceOpen(from, open, nowMs);
        return malformed;
    }

    /** Records the offer of another region. */
    void recordOffer(PeerMessage.RegionRoom room) {
        if (mRegions.regionIds().contains(room.region())) {
            mLastInputMs = mContext.nowMs();
            mSpareRoom.recordOffer(
                    room.region(),
                    room.tokensPerSecond(),
                    room.startsPerSecond(),
                    mContext.nowMs());
            mSpareRoom.recordWait(room.region(), room.waitMs(), mContext.nowMs());
        }
    }

    private void schedulePass() {
        if (!mPassScheduled && !mWaiting.isEmpty()) {
            mPassScheduled = true;
            long delayMs = Math.max(1, mLastPassMs + PASS_INTERVAL_MS - mContext.nowMs());
            mContext.timers().runAfter(delayMs, this::runScheduledPass);
        }
    }

    private void runScheduledPass() {
        mPassScheduled = false;
        if (!mClosed) {
            runPass();
        }
    }

    /**
     * Decides on waiting requests. After an exception there are no heartbeats until a pass succeeds
     * again, so that the instances ask another scheduler.
     */
    private void runPass() {
        long nowMs = mContext.nowMs();
        mLastPassMs = nowMs;
        try {
            mScheduler.decide(nowMs).forEach(decision -> note(decision, nowMs));
            mPassFailed = false;
        } catch (RuntimeException | Error e) {
            mPassFailed = true;
            LOG.warn(
                    "A scheduling pass has failed.",
                    LogField.of("service", mService),
                    LogField.of("error", e));
        }
        // An instance that asks itself may send messages while it handles decisions.
        List.copyOf(mSenders.values()).forEach(sender -> sender.sendDecisions(nowMs));
    }

    private void note(StartDecision decision, long nowMs) {
        StartSender sender = mSenders.get(decision.id().sender());
        Waiting waiting = sender == null ? null : removeWaiting(sender, decision.id());
        if (waiting == null) {
            mScheduler.cancel(decision.id());
            return;
        }
        sender.addDecision(
                StartConversion.record(
                        decision,
                        nowMs - waiting.arrivedMs(),
                        waiting.ahead(),
                        waiting.aheadTokens()));
    }

    /** Runs a pass and the periodic tasks. */
    void tick() {
        long nowMs = mContext.nowMs();
        // Reports that came while this instance was held up have not been read yet.
        long heldUpMs = Math.max(0, nowMs - mLastTickMs - TICK_MS);
        mLastTickMs = nowMs;
        mSenders.values().forEach(sender -> sender.excludeFromSilence(heldUpMs));
        dropLostSenders(nowMs);
        mScheduler.setEngines(engines(nowMs), nowMs);
        runPass();
        if (!mPassFailed) {
            List.copyOf(mSenders.values()).forEach(sender -> sender.sendHeartbeat(nowMs));
        }
        if (nowMs >= mNextOfferMs) {
            mNextOfferMs = nowMs + OFFER_INTERVAL_MS;
            sendOffers(nowMs);
            mContext.metrics().publish(mService, mScheduler.state(nowMs));
        }
    }

    private void dropLostSenders(long nowMs) {
        List<InstanceId> lost = new ArrayList<>();
        List<Member> members = mContext.snapshot().get().members();
        mSenders.forEach(
                (id, sender) -> {
                    if (sender.isLost(nowMs) || !isAlive(id, members)) {
                        lost.add(id);
                    }
                });
        for (InstanceId id : lost) {
            StartSender sender = mSenders.remove(id);
            for (StartId start : List.copyOf(mWaiting.keySet())) {
                if (start.sender().equals(id)) {
                    removeWaiting(sender, start);
                }
            }
            mScheduler.dropSender(id);
        }
    }

    private boolean isAlive(InstanceId id, List<Member> members) {
        return id.equals(mContext.snapshot().get().self().id())
                || members.stream()
                        .anyMatch(
                                member ->
                                        member.id().equals(id)
                                                && member.state() != MemberState.DEAD);
    }

    private void sendOffers(long nowMs) {
        GatewaySnapshot snapshot = mContext.snapshot().get();
        SpareRoom.Offer equal = mScheduler.offer(nowMs);
        double waitMs = mScheduler.ownWaitMs(nowMs);
        for (RegionId region : mRegions.nearestTo(mRegion)) {
            SpareRoom.Offer offer = mSpareRoom.partFor(region, equal, nowMs);
            PeerMessage.RegionRoom room =
                    new PeerMessage.RegionRoom(
                            mRegion,
                            mService,
                            offer.tokensPerSecond(),
                            offer.startsPerSecond(),
                            waitMs);
            SchedulerChoice.candidates(mService, region, snapshot).stream()
                    .limit(OFFER_RECEIVERS)
                    .forEach(member -> mNetwork.send(member, room));
        }
    }

    /** Returns whether nothing waits and no request or offer has arrived since the given time. */
    boolean isIdle(long sinceMs) {
        return mWaiting.isEmpty() && mLastInputMs < sinceMs;
    }

    /** Ends scheduled passes. */
    void close() {
        mClosed = true;
    }

    /** Describes a request that waits. */
    private record Waiting(
            boolean forwarded, long tokens, long arrivedMs, int ahead, long aheadTokens) {}
}
