package org.filbertrudder.measure;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.filbertrudder.measure.SharedPartsBound.Started;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.EndpointLoad;
import org.filbertrudder.policy.routing.EndpointLoadSums;
import org.filbertrudder.policy.routing.RegionGraph;

/**
 * Simulates the model engines of a region and the instances that place recorded prompts on them.
 */
final class SharedPartsSimulation {

    static final int ENGINES = 8;

    /** The number of engines that a change concerns, the first of the fleet. */
    static final int CHANGED_ENGINES = 3;

    static final double CHANGE_FROM_MS = 8_000;
    static final double CHANGE_UNTIL_MS = 14_000;
    static final ServiceId SERVICE = ServiceId.of("pool");
    static final RegionId REGION = RegionId.of("region");
    static final RegionGraph REGIONS = new OneRegion();

    private static final double SLOWDOWN = 3;
    private static final double NETWORK_DELAY_MS = 1;
    private static final double TICK_MS = 50;
    private static final double REPORT_INTERVAL_MS = 250;

    private final VirtualTimeline mTimeline = new VirtualTimeline();
    private final ReadTokens mReadTokens = new ReadTokens();
    private final List<Endpoint> mEndpoints = new ArrayList<>();
    private final Map<EndpointId, PromptEngine> mEngines = new LinkedHashMap<>();
    private final List<PromptDecider> mDeciders = new ArrayList<>();
    private final List<PromptCall> mCalls = new ArrayList<>();
    private final double mReportAgeMs;

    /**
     * Creates a simulation.
     *
     * @param reportAgeMs the age at which the load reports of other instances arrive
     */
    SharedPartsSimulation(
            List<RecordedPrompt> prompts,
            int deciders,
            double reportAgeMs,
            SharedPartsPattern.Change change,
            PromptChoice choice) {
        mReportAgeMs = reportAgeMs;
        for (int i = 0; i < ENGINES; i++) {
            EndpointId id = EndpointId.of("engine-" + i);
            mEndpoints.add(
                    Endpoint.of(
                            id,
                            SERVICE,
                            REGION,
                            FailureDomainId.of("domain"),
                            "127.0.0.1",
                            1 + i,
                            PromptEngine.SLOTS));
            mEngines.put(id, new PromptEngine(mTimeline, mReadTokens));
        }
        for (int i = 0; i < deciders; i++) {
            mDeciders.add(new PromptDecider(this, choice, mEndpoints));
        }
        schedule(change);
        for (RecordedPrompt prompt : prompts) {
            PromptCall call = new PromptCall(mTimeline, prompt);
            mCalls.add(call);
            mTimeline.add(prompt.arrivedMs(), () -> mDeciders.get(prompt.decider()).submit(call));
        }
        repeat(0, TICK_MS, () -> mDeciders.forEach(PromptDecider::pump));
        repeat(REPORT_INTERVAL_MS, REPORT_INTERVAL_MS, this::reportLoads);
    }

    private void schedule(SharedPartsPattern.Change change) {
        List<Endpoint> changed = mEndpoints.subList(0, CHANGED_ENGINES);
        List<Endpoint> others = mEndpoints.subList(CHANGED_ENGINES, ENGINES);
        switch (change) {
            case LEAVING:
                mTimeline.add(CHANGE_FROM_MS, () -> setEndpoints(others));
                break;
            case COLD_RETURN:
                mTimeline.add(CHANGE_FROM_MS, () -> setEndpoints(others));
                mTimeline.add(
                        CHANGE_UNTIL_MS,
                        () -> {
                            changed.forEach(each -> mEngines.get(each.id()).clearCache());
                            setEndpoints(mEndpoints);
                        });
                break;
            case PAUSE:
                mTimeline.add(
                        CHANGE_FROM_MS,
                        () -> mDeciders.forEach(each -> each.pause(changed, pauseMs())));
                break;
            case SLOW:
                mTimeline.add(CHANGE_FROM_MS, () -> setStepFactor(changed, SLOWDOWN));
                mTimeline.add(CHANGE_UNTIL_MS, () -> setStepFactor(changed, 1));
                break;
            case NONE:
            default:
                break;
        }
    }

    private static long pauseMs() {
        return (long) (CHANGE_UNTIL_MS - CHANGE_FROM_MS);
    }

    private void setEndpoints(List<Endpoint> endpoints) {
        mDeciders.forEach(each -> each.setEndpoints(endpoints));
    }

    private void setStepFactor(List<Endpoint> endpoints, double factor) {
        endpoints.forEach(each -> mEngines.get(each.id()).setStepFactor(factor));
    }

    private void repeat(double atMs, double intervalMs, Runnable action) {
        mTimeline.add(
                atMs,
                () -> {
                    action.run();
                    repeat(atMs + intervalMs, intervalMs, action);
                });
    }

    /** Reports the load of all instances, each of which subtracts its own. */
    private void reportLoads() {
        long nowMs = nowMs();
        EndpointLoadSums sums = new EndpointLoadSums();
        List<Map<EndpointId, EndpointLoad>> own = new ArrayList<>();
        for (int i = 0; i < mDeciders.size(); i++) {
            Map<EndpointId, EndpointLoad> loads = mDeciders.get(i).loads();
            own.add(loads);
            sums.storeReport(InstanceId.of("edge-" + i), List.copyOf(loads.values()), nowMs);
        }
        Map<EndpointId, EndpointLoad> sumByEngine = sums.sumByEndpoint(nowMs);
        mTimeline.add(
                mTimeline.nowMs() + mReportAgeMs,
                () -> {
                    for (int i = 0; i < mDeciders.size(); i++) {
                        Map<EndpointId, EndpointLoad> others = new HashMap<>();
                        for (EndpointLoad sum : sumByEngine.values()) {
                            EndpointLoad ownLoad = own.get(i).get(sum.endpoint());
                            others.put(sum.endpoint(), EndpointLoadSums.loadOfOthers(sum, ownLoad));
                        }
                        mDeciders.get(i).applyLoadOfOthers(others);
                    }
                });
    }

    long nowMs() {
        return (long) mTimeline.nowMs();
    }

    /** Sends a request to an engine; its events pass the same delay back. */
    void send(PromptCall call, EndpointId engine, PromptEngine.EventListener listener) {
        call.sentTo(engine);
        mTimeline.add(
                mTimeline.nowMs() + NETWORK_DELAY_MS,
                () -> {
                    if (!call.ended()) {
                        PromptEngine.Run run =
                                mEngines.get(engine)
                                        .add(
                                                call.prompt(),
                                                last -> {
                                                    call.onEngineEvent();
                                                    mTimeline.add(
                                                            mTimeline.nowMs() + NETWORK_DELAY_MS,
                                                            () -> listener.onEvent(last));
                                                });
                        call.setRun(run);
                    }
                });
    }

    /** Runs the simulation until all requests have ended. */
    Result run() {
        double maxDeadlineMs =
                mCalls.stream().mapToDouble(call -> call.prompt().deadlineMs()).max().orElse(0);
        mTimeline.run(SharedPartsPattern.UNTIL_MS + maxDeadlineMs);
        return new Result(List.copyOf(mCalls), mReadTokens);
    }

    /** Holds the requests of a run and what the engines have read. */
    record Result(List<PromptCall> calls, ReadTokens readTokens) {

        /** Returns the least redundant reading for the same or earlier first tokens. */
        long boundTokens() {
            return new SharedPartsBound(PromptEngine.MAX_READ_TOKENS_PER_MS, ENGINES)
                    .redundantTokens(started());
        }

        /** Returns the redundant tokens in 100 of all tokens read. */
        double redundantPercent() {
            return 100.0 * readTokens.redundantTokens() / Math.max(1, readTokens.allTokens());
        }

        /** Returns the bound in 100 of all tokens that a placement at the bound reads. */
        double boundPercent() {
            long bound = boundTokens();
            long all = readTokens.allTokens() - readTokens.redundantTokens() + bound;
            return 100.0 * bound / Math.max(1, all);
        }

        /** Returns the time to first token of the requests that got one. */
        double firstTokenMs(double quantile) {
            double[] sorted =
                    started().stream()
                            .mapToDouble(each -> each.firstTokenMs() - each.prompt().arrivedMs())
                            .sorted()
                            .toArray();
            return sorted.length == 0 ? 0 : sorted[(int) (quantile * (sorted.length - 1))];
        }

        /** Returns the share of all requests that were answered whole, and began in time. */
        double servedInTimeShare() {
            long served = calls.stream().filter(PromptCall::servedInTime).count();
            return (double) served / Math.max(1, calls.size());
        }

        private List<Started> started() {
            return calls.stream().flatMap(call -> call.started().stream()).toList();
        }
    }

    /** Provides a single region. */
    private static final class OneRegion implements RegionGraph {

        @Override
        public Collection<RegionId> regionIds() {
            return Set.of(REGION);
        }

        @Override
        public List<RegionId> nearestTo(RegionId region) {
            return List.of();
        }

        @Override
        public double delayMs(RegionId from, RegionId to) {
            return 0;
        }

        @Override
        public long forwardingCostMs() {
            return 0;
        }
    }
}
