package org.filbertrudder.policy.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.policy.RendezvousHashing;

/**
 * Chooses the engine for a prompt among those of all regions.
 *
 * <p>The engine with the lowest cost is chosen. The cost is the expected time to first token, plus
 * a cost for shared tokens that are not cached there, plus a cost for forwarding to another region,
 * plus penalties for a high failure rate and for a pace at which the response would end after its
 * deadline. Shared tokens cost nothing extra on the preferred engine of the prompt. That engine is
 * found by rendezvous hashing and is the same for all instances, so that a part that is not cached
 * anywhere yet is not prefilled on several engines.
 */
final class PromptPlacement {

    /**
     * The cost of a redundantly prefilled token, in milliseconds of waiting. Deployments price
     * about 5,000 of them at a third of the value of a long request; a wait of half the request's
     * latency goal loses the same value.
     */
    private static final double REDUNDANT_PREFILL_MS_PER_TOKEN = 0.12;

    /**
     * The cost of a run on an engine with a high failure rate: detecting the failure and starting
     * on another engine, in milliseconds.
     */
    private static final double HIGH_FAILURE_RATE_PENALTY_MS = 600;

    /**
     * The cost of an engine at whose pace the response would end after its deadline, in
     * milliseconds of waiting; the overrun is added to it.
     */
    private static final double OVERRUN_PENALTY_MS = 1_000;

    /** The granularity of cost comparisons, in ms; within it, affinity decides instead. */
    private static final double COST_BUCKET_MS = 50;

    private final RegionId mLocalRegion;

    PromptPlacement(RegionId localRegion) {
        mLocalRegion = localRegion;
    }

    /** Returns the cost function of a prompt over the engines that may run it, in milliseconds. */
    ToDoubleFunction<EndpointState> costsMs(
            PromptDemand prompt,
            long remainingMs,
            List<EndpointState> usable,
            RegionGraph regions,
            long nowMs) {
        Optional<EndpointState> preferredEngine = preferredEngine(prompt, usable);
        return state ->
                costMs(state, prompt, preferredEngine, regions, nowMs)
                        + overrunCostMs(state, prompt, remainingMs, nowMs);
    }

    /** Returns the engine with the lowest cost that can accept the prompt now, if any. */
    Optional<EndpointState> choose(
            PromptDemand prompt,
            double waitedShare,
            List<EndpointState> usable,
            ToDoubleFunction<EndpointState> costsMs,
            long nowMs) {
        long keyHash = RendezvousHashing.hash(prompt.affinityKey());
        EndpointState preferred = preferredEngine(prompt, usable).orElse(null);
        return usable.stream()
                .filter(
                        state ->
                                state.canAcceptRequest(
                                        prompt, state == preferred, waitedShare, nowMs))
                .map(
                        state ->
                                new Candidate(
                                        state,
                                        Math.floor(costsMs.applyAsDouble(state) / COST_BUCKET_MS),
                                        state.affinity(keyHash)))
                .min(Candidate.LOWEST_COST_FIRST)
                .map(Candidate::state);
    }

    /**
     * Returns whether an engine with a full prefill backlog costs less than the best available one.
     *
     * <p>During a burst, the engine that has cached a long shared part is often busy for a short
     * time. Prefilling the part on another engine would take longer than that, and would delay
     * other prompts there.
     */
    boolean isBusyEngineCheaper(
            PromptDemand prompt,
            double waitedShare,
            List<EndpointState> usable,
            EndpointState available,
            ToDoubleFunction<EndpointState> costsMs,
            long nowMs) {
        double maxCostMs = costsMs.applyAsDouble(available) - COST_BUCKET_MS;
        EndpointState preferred = preferredEngine(prompt, usable).orElse(null);
        return usable.stream()
                .filter(
                        state ->
                                state.isBlockedByPrefillBacklog(
                                        prompt, state == preferred, waitedShare, nowMs))
                .anyMatch(state -> costsMs.applyAsDouble(state) < maxCostMs);
    }

    /** Returns the engine that should cache the prompt's shared parts, by rendezvous hashing. */
    private static Optional<EndpointState> preferredEngine(
            PromptDemand prompt, List<EndpointState> usable) {
        if (prompt.affinityKey().isEmpty()) {
            return Optional.empty();
        }
        long keyHash = RendezvousHashing.hash(prompt.affinityKey());
        return usable.stream().max(Comparator.comparingLong(state -> state.affinity(keyHash)));
    }

    private double costMs(
            EndpointState state,
            PromptDemand prompt,
            Optional<EndpointState> preferredEngine,
            RegionGraph regions,
            long nowMs) {
        boolean isPreferred = preferredEngine.isPresent() && preferredEngine.get() == state;
        long redundantTokens = isPreferred ? 0 : state.uncachedSharedTokens(prompt, nowMs);
        return state.startDelayMs(prompt, nowMs)
                + redundantTokens * REDUNDANT_PREFILL_MS_PER_TOKEN
                + (state.isFailureRateHigh(nowMs) ? HIGH_FAILURE_RATE_PENALTY_MS : 0)
                + forwardingCostMs(state, regions);
    }

    private static double overrunCostMs(
            EndpointState state, PromptDemand prompt, long remainingMs, long nowMs) {
        double overrunMs = state.overrunMs(prompt, remainingMs, nowMs);
        return overrunMs > 0 ? OVERRUN_PENALTY_MS + overrunMs : 0;
    }

    private double forwardingCostMs(EndpointState state, RegionGraph regions) {
        RegionId region = state.endpoint().region();
        return region.equals(mLocalRegion)
                ? 0
                : regions.forwardingCostMs() + 2 * regions.delayMs(mLocalRegion, region);
    }

    /** Holds the sort keys of an engine that can accept the prompt, computed once for each. */
    private record Candidate(EndpointState state, double costBucket, long affinity) {

        static final Comparator<Candidate> LOWEST_COST_FIRST =
                Comparator.comparingDouble(Candidate::costBucket)
                        .thenComparing(Comparator.comparingLong(Candidate::affinity).reversed());
    }
}
