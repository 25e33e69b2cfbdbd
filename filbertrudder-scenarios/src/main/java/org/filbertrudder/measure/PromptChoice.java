package org.filbertrudder.measure;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.filbertrudder.policy.RendezvousHashing;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.routing.Route;
import org.filbertrudder.policy.routing.RouteRequest;
import org.filbertrudder.policy.routing.Router;

/** Lists how an instance chooses the engine of a prompt. */
enum PromptChoice {
    /** The engine with the fewest requests. */
    LEAST_LOADED(
            (router, request, engines, nowMs) ->
                    usable(engines, nowMs)
                            .filter(state -> state.canAcceptRequest(nowMs))
                            .min(
                                    Comparator.<EndpointState>comparingInt(
                                                    state -> state.load(nowMs))
                                            .thenComparing(EndpointState::id))),

    /** The engine that rendezvous hashing finds for the longest shared prefix. */
    RENDEZVOUS(
            (router, request, engines, nowMs) ->
                    usable(engines, nowMs)
                            .max(Comparator.comparingLong(state -> weight(request, state)))
                            .filter(state -> state.canAcceptRequest(nowMs))),

    /** The product's choice. */
    ROUTER(
            (router, request, engines, nowMs) ->
                    router.choose(request, SharedPartsSimulation.REGIONS, 0, nowMs)
                                    instanceof Route.Local local
                            ? Optional.of(local.endpoint())
                            : Optional.empty());

    private final Rule mRule;

    PromptChoice(Rule rule) {
        mRule = rule;
    }

    /** Returns the engine that a prompt is sent to now; empty if it waits. */
    Optional<EndpointState> choose(
            Router router, RouteRequest request, List<EndpointState> engines, long nowMs) {
        return mRule.choose(router, request, engines, nowMs);
    }

    private static Stream<EndpointState> usable(List<EndpointState> engines, long nowMs) {
        return engines.stream().filter(state -> state.isUsable(nowMs));
    }

    private static long weight(RouteRequest request, EndpointState state) {
        List<String> sharedPartIds = request.prompt().orElseThrow().sharedPartIds();
        return RendezvousHashing.weight(
                sharedPartIds.get(sharedPartIds.size() - 1), state.id().value());
    }

    @FunctionalInterface
    private interface Rule {
        Optional<EndpointState> choose(
                Router router, RouteRequest request, List<EndpointState> engines, long nowMs);
    }
}
