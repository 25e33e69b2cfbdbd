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
import org.filbertrudder.policy.limits.EndpointLimits;
import org.filbertrudder.policy.limits.LimitObservation;

/**
 * Holds the endpoints of all services and regions with their load and health, as seen by one
 * traffic thread.
 */
public final class EndpointTable {

    /**
     * The limit of the body bytes in flight to one endpoint from this instance. Endpoints that hold
     * requests beyond their memory crash; callers within their limits do not reach it.
     */
    static final long MAX_BODY_BYTES = 4L * 1024 * 1024;

    private final Map<EndpointId, EndpointState> mStates = new HashMap<>();
    private Map<ServiceInRegion, List<EndpointState>> mStatesByGroup = Map.of();
    private final LeavingAnnouncements mLeavingAnnouncements = new LeavingAnnouncements();
    private final EndpointLimits mLimits = new EndpointLimits();
    private final Map<ServiceId, OutputEvents> mOutputEvents = new HashMap<>();
    private Set<EndpointId> mLeaving = Set.of();
    private long mMaxBodyBytes = Long.MAX_VALUE;

    /**
     * Sets whether the body bytes in flight to each endpoint that is set from now on are limited.
     * An endpoint at or above the limit counts as full.
     */
    public void limitBodyBytes(boolean limited) {
        mMaxBodyBytes = limited ? MAX_BODY_BYTES : Long.MAX_VALUE;
    }

    /** Replaces the set of endpoints; endpoints that remain in the set keep their state. */
    public void setEndpoints(Collection<Endpoint> endpoints, long nowMs) {
        Set<EndpointId> ids = new HashSet<>();
        Map<ServiceInRegion, List<EndpointState>> groups = new HashMap<>();
        for (Endpoint endpoint : endpoints) {
            EndpointState state =
                    mStates.computeIfAbsent(
                            endpoint.id(), id -> new EndpointState(endpoint, nowMs));
            state.setEndpoint(endpoint, nowMs);
            state.setMaxBodyBytes(mMaxBodyBytes);
            state.setOutputEvents(
                    mOutputEvents.computeIfAbsent(endpoint.service(), key -> new OutputEvents()));
            state.setLeaving(mLeaving.contains(endpoint.id()));
            mLimits.find(endpoint.id()).ifPresent(each -> state.setLimit(each, nowMs));
            ids.add(endpoint.id());
            ServiceInRegion group = new ServiceInRegion(endpoint.service(), endpoint.region());
            groups.computeIfAbsent(group, key -> new ArrayList<>()).add(state);
        }
        mStates.keySet().retainAll(ids);
        groups.values().forEach(group -> group.sort(Comparator.comparing(EndpointState::id)));
        mStatesByGroup = groups;
    }

    /** Marks exactly these endpoints as leaving. */
    public void setLeaving(Set<EndpointId> leaving) {
        mLeaving = Set.copyOf(leaving);
        mStates.values().forEach(state -> state.setLeaving(leaving.contains(state.id())));
    }

    /**
     * Marks these endpoints as leaving, and those that have announced it in a response.
     *
     * @param startedMs when each endpoint's process started, in milliseconds since the epoch
     */
    public void setLeaving(Set<EndpointId> leaving, Map<EndpointId, Long> startedMs, long nowMs) {
        Set<EndpointId> all = new HashSet<>(leaving);
        for (EndpointState state : mStates.values()) {
            state.setProcessStartedMs(startedMs.getOrDefault(state.id(), 0L));
            if (mLeavingAnnouncements.contains(state.id(), state.processStartedMs(), nowMs)) {
                all.add(state.id());
            }
        }
        setLeaving(all);
    }

    /**
     * Records that an endpoint has announced in a response that it is leaving.
     *
     * @return whether it had not announced this before
     */
    public boolean recordLeavingAnnouncement(EndpointState state, long nowMs) {
        boolean newlyAnnounced =
                !mLeavingAnnouncements.contains(state.id(), state.processStartedMs(), nowMs);
        mLeavingAnnouncements.add(state.id(), state.processStartedMs(), nowMs);
        state.setLeaving(true);
        return newlyAnnounced;
    }

    /**
     * Records what a response states about the request limit of an endpoint.
     *
     * @return the change of the limit in force, if any
     */
    public Optional<EndpointLimits.Change> recordLimit(
            EndpointId endpoint, LimitObservation observation, long nowMs) {
        Optional<LimitObservation> known = mLimits.find(endpoint);
        Optional<EndpointLimits.Change> change = mLimits.record(endpoint, observation);
        EndpointState state = mStates.get(endpoint);
        if (state != null) {
            if (change.filter(EndpointLimits.Change::isRelaxed).isPresent()) {
                state.noteLimitRelaxed(known.get().receivedMs(), observation.receivedMs());
            }
            mLimits.find(endpoint).ifPresent(each -> state.setLimit(each, nowMs));
        }
        return change;
    }

    /** Forgets limits that no longer matter. */
    public void expireLimits(long nowMs) {
        mLimits.expire(mStates.keySet(), nowMs);
    }

    /** Returns the request limits that endpoints have stated. */
    public EndpointLimits limits() {
        return mLimits;
    }

    /** Returns the endpoints of a service in a region, sorted by id, usable or not. */
    public List<EndpointState> findByService(ServiceId service, RegionId region) {
        List<EndpointState> group = mStatesByGroup.get(new ServiceInRegion(service, region));
        return group == null ? List.of() : Collections.unmodifiableList(group);
    }

    /** Returns the endpoints of a service in all regions, usable or not. */
    public List<EndpointState> findByService(ServiceId service) {
        List<EndpointState> found = new ArrayList<>();
        mStatesByGroup.forEach(
                (group, states) -> {
                    if (group.service().equals(service)) {
                        found.addAll(states);
                    }
                });
        return found;
    }

    /** Returns the endpoint with the id. */
    public Optional<EndpointState> findById(EndpointId id) {
        return Optional.ofNullable(mStates.get(id));
    }

    /** Returns the endpoints of all services in a region. */
    public List<EndpointState> findByRegion(RegionId region) {
        List<EndpointState> found = new ArrayList<>();
        mStatesByGroup.forEach(
                (group, states) -> {
                    if (group.region().equals(region)) {
                        found.addAll(states);
                    }
                });
        return found;
    }

    private record ServiceInRegion(ServiceId service, RegionId region) {}
}
