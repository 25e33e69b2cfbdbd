package org.filbertrudder.policy.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.policy.VirtualSchedule;

/**
 * Simulates model engines in three regions, the instances that place requests on them, and callers
 * that leave at their deadline, on a virtual clock.
 */
final class GenerationFleetSimulation {

    static final ServiceId SERVICE = ServiceId.of("pool");
    private static final List<RegionId> REGIONS =
            List.of(RegionId.of("r0"), RegionId.of("r1"), RegionId.of("r2"));
    static final RegionGraph REGION_GRAPH = new Regions();

    /** The regions of engines and instances, in turn: four, three and one of eight. */
    private static final int[] REGION_PATTERN = {0, 1, 0, 1, 0, 2, 1, 0};

    static final long REGION_DELAY_MS = 80;

    private static final long BURST_START_MS = 5_000;
    private static final long BURST_END_MS = 25_000;
    private static final long SLOW_START_MS = 2_000;
    private static final long SLOW_END_MS = 26_000;
    private static final double SLOWDOWN = 6;
    private static final long LAST_ARRIVAL_MS = 28_000;

    private final Scenario mScenario;
    private final Random mRandom;
    private final VirtualSchedule mSchedule = new VirtualSchedule();
    private final Map<EndpointId, SimulatedEngine> mEngines = new HashMap<>();
    private final SimulatedEngine.PaceRecorder mPace = new SimulatedEngine.PaceRecorder();
    private final List<SimulatedInstance> mInstances = new ArrayList<>();
    private final List<SimulatedCall> mCalls = new ArrayList<>();

    /**
     * Describes a fleet and its traffic.
     *
     * @param engines the number of engines
     * @param instances the number of instances
     * @param load the traffic as a multiple of the usual rates of all kinds
     * @param burst the factor of the traffic during the burst
     * @param stepFactor the factor of the time that the steps of all engines take
     * @param slowShare the share of engines whose steps take six times longer for some seconds
     */
    record Scenario(
            int engines,
            int instances,
            double load,
            double burst,
            double stepFactor,
            double slowShare) {}

    GenerationFleetSimulation(long seed, Scenario scenario) {
        mScenario = scenario;
        mRandom = new Random(seed);
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < scenario.engines(); i++) {
            EndpointId id = EndpointId.of("engine-" + i);
            RegionId region = regionOf(i);
            endpoints.add(
                    Endpoint.of(
                            id,
                            SERVICE,
                            region,
                            FailureDomainId.of(region.value()),
                            "127.0.0.1",
                            1 + i,
                            SimulatedEngine.SLOTS));
            SimulatedEngine engine = new SimulatedEngine(mSchedule, mPace);
            engine.setStepFactor(scenario.stepFactor());
            mEngines.put(id, engine);
            if (i < Math.round(scenario.slowShare() * scenario.engines())) {
                mSchedule.add(
                        SLOW_START_MS,
                        () -> engine.setStepFactor(SLOWDOWN * scenario.stepFactor()));
                mSchedule.add(SLOW_END_MS, () -> engine.setStepFactor(scenario.stepFactor()));
            }
        }
        for (int i = 0; i < scenario.instances(); i++) {
            mInstances.add(new SimulatedInstance(this, i, endpoints));
        }
    }

    static RegionId regionOf(int index) {
        return REGIONS.get(REGION_PATTERN[index % REGION_PATTERN.length]);
    }

    /** Runs the simulation until all requests have ended, and returns them. */
    List<SimulatedCall> run() {
        mInstances.forEach(SimulatedInstance::start);
        scheduleArrival(0);
        long maxDeadlineMs = 0;
        for (GenerationKind kind : GenerationKind.values()) {
            maxDeadlineMs = Math.max(maxDeadlineMs, kind.mDeadlineMs);
        }
        mSchedule.run(LAST_ARRIVAL_MS + maxDeadlineMs + REGION_DELAY_MS);
        return mCalls;
    }

    /** Returns the median time that engines took to generate a token, in milliseconds. */
    double medianMsPerToken() {
        return mPace.medianMsPerToken();
    }

    long nowMs() {
        return mSchedule.nowMs();
    }

    void schedule(long atMs, Runnable action) {
        mSchedule.add(atMs, action);
    }

    Random random() {
        return mRandom;
    }

    List<SimulatedInstance> instances() {
        return mInstances;
    }

    SimulatedInstance drawInstance() {
        return draw(mInstances);
    }

    SimulatedInstance drawInstance(RegionId region) {
        return draw(mInstances.stream().filter(each -> each.region().equals(region)).toList());
    }

    private SimulatedInstance draw(List<SimulatedInstance> instances) {
        return instances.get(mRandom.nextInt(instances.size()));
    }

    SimulatedEngine engine(EndpointId id) {
        return mEngines.get(id);
    }

    private void scheduleArrival(double fromMs) {
        double kindsPerSecond = 0;
        for (GenerationKind kind : GenerationKind.values()) {
            kindsPerSecond += kind.mPerSecond;
        }
        boolean inBurst = fromMs >= BURST_START_MS && fromMs < BURST_END_MS;
        double perMs =
                kindsPerSecond * mScenario.load() * (inBurst ? mScenario.burst() : 1) / 1_000;
        double atMs = fromMs - Math.log(1 - mRandom.nextDouble()) / perMs;
        if (atMs < LAST_ARRIVAL_MS) {
            mSchedule.add(
                    (long) Math.ceil(atMs),
                    () -> {
                        SimulatedCall call = new SimulatedCall(this);
                        mCalls.add(call);
                        call.start();
                        scheduleArrival(atMs);
                    });
        }
    }

    double logNormal(double median, double spread) {
        return median * Math.exp(spread * mRandom.nextGaussian());
    }

    int drawIndex(double[] weights) {
        double sum = 0;
        for (double weight : weights) {
            sum += weight;
        }
        double remaining = mRandom.nextDouble() * sum;
        int index = 0;
        while (index < weights.length - 1 && remaining >= weights[index]) {
            remaining -= weights[index++];
        }
        return index;
    }

    /** Provides the three regions with equal delays between them. */
    private static final class Regions implements RegionGraph {

        @Override
        public Collection<RegionId> regionIds() {
            return REGIONS;
        }

        @Override
        public List<RegionId> nearestTo(RegionId localRegion) {
            return REGIONS.stream().filter(region -> !region.equals(localRegion)).toList();
        }

        @Override
        public double delayMs(RegionId from, RegionId to) {
            return REGION_DELAY_MS;
        }

        @Override
        public long forwardingCostMs() {
            return 150;
        }
    }
}
