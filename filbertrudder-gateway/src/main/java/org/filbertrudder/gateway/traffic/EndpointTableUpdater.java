package org.filbertrudder.gateway.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.filbertrudder.gateway.config.ServiceRule;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.gateway.control.EndpointAvailability;
import org.filbertrudder.gateway.control.GatewaySnapshot;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.policy.limits.SchedulerSelection;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.routing.EndpointTable;

/** Applies the registrations and the rules of the services to the table of endpoints. */
final class EndpointTableUpdater {

    private final InstanceId mSelf;
    private final RegionId mRegion;
    private final EndpointTable mTable;

    EndpointTableUpdater(InstanceId self, RegionId region, EndpointTable table) {
        mSelf = self;
        mRegion = region;
        mTable = table;
    }

    /** Replaces the endpoints by those of a snapshot that has a configuration. */
    void update(GatewaySnapshot snapshot) {
        long nowMs = Clocks.steadyMs();
        List<Endpoint> endpoints = new ArrayList<>();
        Set<EndpointId> unusable = new HashSet<>();
        Map<EndpointId, Long> startedMs = new HashMap<>();
        for (EndpointAvailability availability : snapshot.endpoints()) {
            endpoints.add(availability.endpoint());
            startedMs.put(availability.endpoint().id(), availability.startedMs());
            if (!availability.usable()) {
                unusable.add(availability.endpoint().id());
            }
        }
        mTable.setEndpoints(endpoints, nowMs);
        mTable.setLeaving(unusable, startedMs, nowMs);
        for (EndpointAvailability availability : snapshot.endpoints()) {
            mTable.findById(availability.endpoint().id())
                    .ifPresent(state -> updateCapacity(state, availability, snapshot));
        }
    }

    /** Applies the rules of its service to an endpoint whose state has changed. */
    void updateCapacity(EndpointState state, GatewaySnapshot snapshot) {
        snapshot.endpoint(state.id())
                .ifPresent(availability -> updateCapacity(state, availability, snapshot));
    }

    private void updateCapacity(
            EndpointState state, EndpointAvailability availability, GatewaySnapshot snapshot) {
        Optional<ServiceRule> service =
                snapshot.configuration().service(availability.endpoint().service());
        service.flatMap(ServiceRule::engine)
                .ifPresent(engine -> state.setEngineMemory(engine.memoryTokens()));
        service.filter(rule -> rule.warmupRequestsPerSecond() > 0)
                .ifPresent(rule -> updateWarmup(state, availability, rule, snapshot.members()));
    }

    private void updateWarmup(
            EndpointState state,
            EndpointAvailability availability,
            ServiceRule service,
            List<Member> members) {
        long nowMs = Clocks.steadyMs();
        state.setWarmupMs(service.warmupMs());
        boolean cold = availability.coldUntilMs() > nowMs || state.isRestartSuspected(nowMs);
        boolean warmupOwner = cold && isWarmupOwner(availability.endpoint(), members);
        state.setCold(
                availability.coldUntilMs(),
                warmupOwner ? (int) service.warmupRequestsPerSecond() : 0,
                nowMs);
    }

    /**
     * Returns whether this instance is the only one of its region that sends requests to the
     * endpoint while it is cold.
     */
    private boolean isWarmupOwner(Endpoint endpoint, List<Member> members) {
        return SchedulerSelection.scheduler(endpoint.id(), mRegion, members)
                .map(member -> member.id().equals(mSelf))
                .orElse(true);
    }
}
