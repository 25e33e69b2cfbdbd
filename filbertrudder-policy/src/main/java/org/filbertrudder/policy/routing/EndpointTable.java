package org.filbertrudder.policy.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;

/** Tracks the load and health of the endpoints as seen by one traffic thread. */
public final class EndpointTable {

    private final Map<EndpointId, EndpointState> mStates = new HashMap<>();

    /** Replaces the set of endpoints; those that stay keep what is known of them. */
    public void setEndpoints(Collection<Endpoint> endpoints, long nowMs) {
        Map<EndpointId, EndpointState> kept = new HashMap<>();
        for (Endpoint endpoint : endpoints) {
            EndpointState known = mStates.get(endpoint.id());
            EndpointState state = known == null ? new EndpointState(endpoint, nowMs) : known;
            state.setEndpoint(endpoint, nowMs);
            kept.put(endpoint.id(), state);
        }
        mStates.clear();
        mStates.putAll(kept);
    }

    /** Marks exactly these endpoints as leaving. */
    public void setLeaving(Set<EndpointId> leaving) {
        mStates.values().forEach(state -> state.setLeaving(leaving.contains(state.id())));
    }

    /** Returns the endpoints of a service in a region, usable or not. */
    public List<EndpointState> of(ServiceId service, RegionId region) {
        return mStates.values().stream()
                .filter(state -> state.endpoint().service().equals(service))
                .filter(state -> state.endpoint().region().equals(region))
                .sorted(java.util.Comparator.comparing(EndpointState::id))
                .toList();
    }

    /** Returns the state of an endpoint, or null once it has been removed. */
    public EndpointState find(EndpointId id) {
        return mStates.get(id);
    }

    /** Returns all endpoints. */
    public Collection<EndpointState> all() {
        return List.copyOf(mStates.values());
    }
}
