package org.filbertrudder.policy.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;

/** Tracks the load and health of the endpoints as seen by one traffic thread. */
public final class EndpointTable {

    private final Map<EndpointId, EndpointState> mStates = new HashMap<>();
    private Map<Group, List<EndpointState>> mGroups = Map.of();
    private final LeavingAnnouncements mAnnounced = new LeavingAnnouncements();
    private Set<EndpointId> mLeaving = Set.of();

    /** Replaces the set of endpoints; those that stay keep what is known of them. */
    public void setEndpoints(Collection<Endpoint> endpoints, long nowMs) {
        Set<EndpointId> wanted = new HashSet<>();
        Map<Group, List<EndpointState>> groups = new HashMap<>();
        for (Endpoint endpoint : endpoints) {
            EndpointState state =
                    mStates.computeIfAbsent(
                            endpoint.id(), id -> new EndpointState(endpoint, nowMs));
            state.setEndpoint(endpoint, nowMs);
            state.setLeaving(mLeaving.contains(endpoint.id()));
            wanted.add(endpoint.id());
            Group group = new Group(endpoint.service(), endpoint.region());
            groups.computeIfAbsent(group, key -> new ArrayList<>()).add(state);
        }
        mStates.keySet().retainAll(wanted);
        groups.values().forEach(group -> group.sort(Comparator.comparing(EndpointState::id)));
        mGroups = groups;
    }

    /** Marks exactly these endpoints as leaving. */
    public void setLeaving(Set<EndpointId> leaving) {
        mLeaving = Set.copyOf(leaving);
        mStates.values().forEach(state -> state.setLeaving(leaving.contains(state.id())));
    }

    /**
     * Marks these endpoints as leaving, and those that have announced it themselves.
     *
     * @param startedMs when each endpoint's process started, in milliseconds since the epoch
     */
    public void setLeaving(Set<EndpointId> leaving, Map<EndpointId, Long> startedMs, long nowMs) {
        Set<EndpointId> all = new HashSet<>(leaving);
        for (EndpointState state : mStates.values()) {
            state.setStartedMs(startedMs.getOrDefault(state.id(), 0L));
            if (mAnnounced.contains(state.id(), state.startedMs(), nowMs)) {
                all.add(state.id());
            }
        }
        setLeaving(all);
    }

    /**
     * Notes that an endpoint has announced in an answer that it leaves.
     *
     * @return whether this is news
     */
    public boolean announceLeaving(EndpointState state, long nowMs) {
        boolean news = !mAnnounced.contains(state.id(), state.startedMs(), nowMs);
        mAnnounced.add(state.id(), state.startedMs(), nowMs);
        state.setLeaving(true);
        return news;
    }

    /** Returns the endpoints of a service in a region in the order of their ids, usable or not. */
    public List<EndpointState> of(ServiceId service, RegionId region) {
        List<EndpointState> group = mGroups.get(new Group(service, region));
        return group == null ? List.of() : Collections.unmodifiableList(group);
    }

    /** Returns the endpoints of a service in all regions, usable or not. */
    public List<EndpointState> of(ServiceId service) {
        List<EndpointState> found = new ArrayList<>();
        mGroups.forEach(
                (group, states) -> {
                    if (group.service().equals(service)) {
                        found.addAll(states);
                    }
                });
        return found;
    }

    /** Returns the endpoint with the id. */
    public Optional<EndpointState> state(EndpointId id) {
        return Optional.ofNullable(mStates.get(id));
    }

    /** Returns the endpoints of all services in a region. */
    public List<EndpointState> in(RegionId region) {
        List<EndpointState> found = new ArrayList<>();
        mGroups.forEach(
                (group, states) -> {
                    if (group.region().equals(region)) {
                        found.addAll(states);
                    }
                });
        return found;
    }

    private record Group(ServiceId service, RegionId region) {}
}
