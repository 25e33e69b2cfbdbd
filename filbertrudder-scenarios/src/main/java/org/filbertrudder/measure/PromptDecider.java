package org.filbertrudder.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.message.EndpointLoad;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.routing.EndpointTable;
import org.filbertrudder.policy.routing.PromptLoad;
import org.filbertrudder.policy.routing.RouteRequest;
import org.filbertrudder.policy.routing.Router;

/**
 * Simulates an instance that sends prompts to engines or makes them wait, in the order in which
 * they arrived, until their goal for the first token has passed.
 */
final class PromptDecider {

    /** The part of the goal for which a prompt may wait for a busy engine. */
    private static final double ENGINE_WAIT_GOAL_FRACTION = 0.4;

    private final SharedPartsSimulation mSimulation;
    private final PromptChoice mChoice;
    private final EndpointTable mTable = new EndpointTable();
    private final Router mRouter;
    private final List<PromptCall> mWaiting = new ArrayList<>();

    PromptDecider(SharedPartsSimulation simulation, PromptChoice choice, List<Endpoint> endpoints) {
        mSimulation = simulation;
        mChoice = choice;
        mRouter = new Router(SharedPartsSimulation.REGION, mTable, region -> true);
        setEndpoints(endpoints);
    }

    void setEndpoints(List<Endpoint> endpoints) {
        mTable.setEndpoints(endpoints, mSimulation.nowMs());
        engines().forEach(state -> state.setEngineMemory(PromptEngine.MEMORY_TOKENS));
    }

    void pause(List<Endpoint> endpoints, long pauseMs) {
        endpoints.forEach(
                endpoint ->
                        mTable.findById(endpoint.id())
                                .ifPresent(state -> state.pause(pauseMs, mSimulation.nowMs())));
    }

    private List<EndpointState> engines() {
        return mTable.findByService(SharedPartsSimulation.SERVICE, SharedPartsSimulation.REGION);
    }

    void submit(PromptCall call) {
        mWaiting.add(call);
        call.setOnLeave(() -> mWaiting.remove(call));
        pump();
    }

    /** Sends the waiting prompts that an engine can accept; refuses those that waited too long. */
    void pump() {
        for (PromptCall call : List.copyOf(mWaiting)) {
            RecordedPrompt prompt = call.prompt();
            Optional<EndpointState> chosen =
                    mChoice.choose(mRouter, request(call), engines(), mSimulation.nowMs());
            if (chosen.isPresent()) {
                mWaiting.remove(call);
                start(call, chosen.get());
            } else if (mSimulation.nowMs() > prompt.arrivedMs() + prompt.goalMs()) {
                mWaiting.remove(call);
                call.refused();
            }
        }
    }

    private RouteRequest request(PromptCall call) {
        RecordedPrompt prompt = call.prompt();
        double maxEngineWaitMs = ENGINE_WAIT_GOAL_FRACTION * prompt.goalMs();
        return new RouteRequest(
                SharedPartsSimulation.SERVICE,
                region -> true,
                "",
                Set.of(),
                Optional.empty(),
                false,
                false,
                mSimulation.nowMs() < prompt.arrivedMs() + maxEngineWaitMs,
                Optional.of(prompt.demand()),
                call.remainingMs());
    }

    private void start(PromptCall call, EndpointState state) {
        long nowMs = mSimulation.nowMs();
        state.requestStarted(false, nowMs);
        PromptLoad load =
                state.addPromptLoad(call.prompt().demand(), nowMs + call.remainingMs(), nowMs);
        call.setOnLeave(
                () -> {
                    load.release();
                    state.requestEnded();
                });
        mSimulation.send(
                call,
                state.id(),
                last -> {
                    if (!call.ended()) {
                        load.eventsReceived(1, mSimulation.nowMs());
                        if (last) {
                            load.complete();
                            state.requestSucceeded();
                            call.answered();
                            pump();
                        }
                    }
                });
    }

    /** Returns the load of this instance's requests on each engine. */
    Map<EndpointId, EndpointLoad> loads() {
        Map<EndpointId, EndpointLoad> loads = new HashMap<>();
        for (EndpointState state : engines()) {
            loads.put(
                    state.id(),
                    new EndpointLoad(
                            state.id(),
                            state.inFlight(),
                            Math.rint(state.ownPrefillMs()),
                            state.ownMemoryTokens()));
        }
        return loads;
    }

    void applyLoadOfOthers(Map<EndpointId, EndpointLoad> loads) {
        loads.forEach(
                (id, load) ->
                        mTable.findById(id)
                                .ifPresent(
                                        state ->
                                                state.recordLoadOfOthers(
                                                        load.requests(),
                                                        load.prefillMs(),
                                                        load.memoryTokens(),
                                                        mSimulation.nowMs())));
    }
}
