package org.filbertrudder.policy.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.policy.Rendezvous;

/**
 * Chooses the engine for a prompt among those of all regions.
 *
 * <p>The engine with the least cost wins. The cost is the expected time to the first token, plus
 * what it costs to read shared parts that another engine keeps already, plus what it costs to leave
 * the region. A part that is not known to be kept anywhere has one home, the same for all
 * instances, so that they do not each have it read at another engine.
 */
final class PromptPlacement {

    /**
     * What a needless token read costs, in milliseconds of waiting. Deployments price about 5,000
     * of them at a third of a long request's worth, which waiting for half of its goal would lose.
     */
    private static final double REREAD_MS_PER_TOKEN = 0.12;

    /** What a run at an engine that fails many costs: finding out and starting elsewhere, in ms. */
    private static final double DOUBT_MS = 600;

    /** Costs that differ by less count as equal, in milliseconds. */
    private static final double COST_CLASS_MS = 50;

    private final RegionId mHere;

    PromptPlacement(RegionId here) {
        mHere = here;
    }

    /** Returns what a prompt costs at each of the engines that may run it, in milliseconds. */
    ToDoubleFunction<EndpointState> costsMs(
            PromptDemand prompt, List<EndpointState> usable, RegionGraph regions, long nowMs) {
        Optional<EndpointState> home = home(prompt, usable);
        return state -> costMs(state, prompt, home, regions, nowMs);
    }

    /** Returns the best engine with room; empty if none has any. */
    Optional<EndpointState> choose(
            PromptDemand prompt,
            List<EndpointState> usable,
            ToDoubleFunction<EndpointState> costsMs,
            long nowMs) {
        long keyHash = Rendezvous.hash(prompt.affinityKey());
        return usable.stream()
                .filter(state -> state.hasRoom(prompt, nowMs))
                .map(
                        state ->
                                new Candidate(
                                        state,
                                        Math.floor(costsMs.applyAsDouble(state) / COST_CLASS_MS),
                                        state.affinity(keyHash)))
                .min(Candidate.BEST_FIRST)
                .map(Candidate::state);
    }

    /**
     * Returns whether an engine that is busy reading is better than the best one with room.
     *
     * <p>Under a burst the engine that keeps a long shared part is often busy for a moment. Reading
     * the part elsewhere takes longer than that moment, and the reading time from others.
     */
    boolean isWorthWaiting(
            PromptDemand prompt,
            List<EndpointState> usable,
            EndpointState withRoom,
            ToDoubleFunction<EndpointState> costsMs,
            long nowMs) {
        double limitMs = costsMs.applyAsDouble(withRoom) - COST_CLASS_MS;
        return usable.stream()
                .filter(state -> state.isReading(prompt, nowMs))
                .anyMatch(state -> costsMs.applyAsDouble(state) < limitMs);
    }

    /** Returns the engine that is assumed to keep the prompt's shared parts. */
    private static Optional<EndpointState> home(PromptDemand prompt, List<EndpointState> usable) {
        if (prompt.affinityKey().isEmpty()) {
            return Optional.empty();
        }
        long keyHash = Rendezvous.hash(prompt.affinityKey());
        return usable.stream().max(Comparator.comparingLong(state -> state.affinity(keyHash)));
    }

    private double costMs(
            EndpointState state,
            PromptDemand prompt,
            Optional<EndpointState> home,
            RegionGraph regions,
            long nowMs) {
        boolean isHome = home.isPresent() && home.get() == state;
        long rereadTokens = isHome ? 0 : state.missingSharedTokens(prompt, nowMs);
        return state.startDelayMs(prompt, nowMs)
                + rereadTokens * REREAD_MS_PER_TOKEN
                + (state.isDoubtful(nowMs) ? DOUBT_MS : 0)
                + awayMs(state, regions);
    }

    private double awayMs(EndpointState state, RegionGraph regions) {
        RegionId there = state.endpoint().region();
        return there.equals(mHere) ? 0 : regions.awayCostMs() + 2 * regions.delayMs(mHere, there);
    }

    /** Holds what decides among the engines with room; each is worked out once. */
    private record Candidate(EndpointState state, double costClass, long affinity) {

        static final Comparator<Candidate> BEST_FIRST =
                Comparator.comparingDouble(Candidate::costClass)
                        .thenComparing(Comparator.comparingLong(Candidate::affinity).reversed());
    }
}
