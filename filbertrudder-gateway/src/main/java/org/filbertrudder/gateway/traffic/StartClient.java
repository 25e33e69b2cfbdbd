package org.filbertrudder.gateway.traffic;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.routing.PromptDemand;

/**
 * Lets the requests of scheduled services wait for their scheduler, and carries out its decisions.
 */
final class StartClient implements RequestDispatcher.ScheduledStarts {

    private final SchedulingScope mScope;
    private final StartContext mContext;
    private final StartNetwork mNetwork;
    private final Map<ServiceId, ServiceStarts> mServices = new HashMap<>();

    StartClient(SchedulingScope scope, StartContext context, StartNetwork network) {
        mScope = scope;
        mContext = context;
        mNetwork = network;
    }

    @Override
    public boolean submit(GatewayExchange exchange) {
        Optional<PromptDemand> prompt = exchange.head().promptDemand();
        if (prompt.isEmpty() || !mScope.isScheduled(exchange.service())) {
            return false;
        }
        RegionId region = mContext.snapshot().get().self().region();
        // A request that must run elsewhere waits for the scheduler there.
        return exchange.mayRunIn(region) && submit(exchange, prompt.get(), region);
    }

    /**
     * Lets a request wait unless no engine is scheduled. The scheduler leaves out engines that warm
     * up or have a request limit; requests start there directly within these limits.
     */
    private boolean submit(GatewayExchange exchange, PromptDemand prompt, RegionId region) {
        long nowMs = mContext.nowMs();
        boolean schedulable = false;
        EndpointState limited = null;
        for (EndpointState state : mContext.table().findByService(exchange.service(), region)) {
            if (StartServer.isSchedulable(state, nowMs)) {
                schedulable = true;
            } else if (isOpenTo(exchange, state, nowMs) && state.canAcceptRequest(prompt, nowMs)) {
                limited = state;
            }
        }
        if (!schedulable) {
            return false;
        }
        if (limited != null) {
            mContext.starter().get().startLocal(exchange, limited);
            return true;
        }
        return starts(exchange.service()).submit(exchange);
    }

    /**
     * Returns whether an engine that is not scheduled may get the request, and asks for permits.
     */
    private static boolean isOpenTo(GatewayExchange exchange, EndpointState state, long nowMs) {
        boolean open = state.isUsable(nowMs) && !exchange.triedEndpoints().contains(state.id());
        if (open) {
            state.noteDemand(nowMs);
        }
        return open;
    }

    private ServiceStarts starts(ServiceId service) {
        return mServices.computeIfAbsent(
                service, key -> new ServiceStarts(key, mContext, mNetwork));
    }

    @Override
    public boolean remove(GatewayExchange exchange) {
        ServiceStarts starts = mServices.get(exchange.service());
        return starts != null && starts.remove(exchange);
    }

    /** Registers an attempt at an endpoint; the result reports its progress to the scheduler. */
    StartedRequest claim(GatewayExchange exchange, EndpointId endpoint) {
        Optional<PromptDemand> prompt = exchange.head().promptDemand();
        return prompt.isPresent() && mScope.isScheduled(exchange.service())
                ? starts(exchange.service()).claim(exchange, endpoint, prompt.get())
                : StartedRequest.UNSCHEDULED;
    }

    /** Records what the head of a response to a prompt states about the load of its endpoint. */
    void noteStatement(GatewayExchange exchange, LoadStatement statement) {
        if (exchange.head().promptDemand().isPresent()) {
            mScope.noteStatement(exchange.service(), statement);
        }
    }

    /** Handles the decisions of a scheduler. */
    void handle(Member from, PeerMessage.StartDecisions message) {
        ServiceStarts starts = mServices.get(message.service());
        if (starts != null && message.decisions() != null) {
            starts.handle(from, message.decisions());
        }
    }

    /** Handles a lost connection to an instance, or one that could not be opened. */
    void connectionLost(InstanceId id) {
        List.copyOf(mServices.values()).forEach(starts -> starts.connectionLost(id));
    }

    /** Runs the periodic checks. */
    void tick() {
        List.copyOf(mServices.values()).forEach(ServiceStarts::tick);
    }

    @Override
    public int waiting() {
        return mServices.values().stream().mapToInt(ServiceStarts::waiting).sum();
    }
}
