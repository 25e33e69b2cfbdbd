package org.filbertrudder.policy.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
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

    /** Returns the best engine with room; empty if none has any. */
    Optional<EndpointState> choose(
            PromptDemand prompt, List<EndpointState> usable, RegionGraph regions, long nowMs) {
        Optional<EndpointState> home = home(prompt, usable);
        long keyHash = Rendezvous.hash(prompt.affinityKey());
        EndpointState best = null;
        double bestClass = Double.MAX_VALUE;
        for (EndpointState state : usable) {
            if (!state.hasRoom(prompt, nowMs)) {
                continue;
            }
            double costClass =
                    Math.floor(cost(state, prompt, home, regions, nowMs) / COST_CLASS_MS);
            boolean better =
                    best == null
                            || costClass < bestClass
                            || (costClass == bestClass
                                    && state.affinity(keyHash) > best.affinity(keyHash));
            if (better) {
                best = state;
                bestClass = costClass;
            }
        }
        return Optional.ofNullable(best);
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
            RegionGraph regions,
            long nowMs) {
        Optional<EndpointState> home = home(prompt, usable);
        double costMs = cost(withRoom, prompt, home, regions, nowMs) - COST_CLASS_MS;
        return usable.stream()
                .filter(state -> state.isReading(prompt, nowMs))
                .anyMatch(state -> cost(state, prompt, home, regions, nowMs) < costMs);
    }

    /** Returns the engine that is assumed to keep the prompt's shared parts. */
    private static Optional<EndpointState> home(PromptDemand prompt, List<EndpointState> usable) {
        if (prompt.affinityKey().isEmpty()) {
            return Optional.empty();
        }
        long keyHash = Rendezvous.hash(prompt.affinityKey());
        return usable.stream().max(Comparator.comparingLong(state -> state.affinity(keyHash)));
    }

    private double cost(
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
}
