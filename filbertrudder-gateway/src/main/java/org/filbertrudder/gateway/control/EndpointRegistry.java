package org.filbertrudder.gateway.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;
import org.filbertrudder.gateway.config.EndpointRegistration;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.StoreEra;
import org.filbertrudder.policy.RendezvousHashing;
import org.filbertrudder.policy.freshness.ReregistrationWindow;

/**
 * Tracks the registered endpoints: which are leaving, no longer registered, evacuated or still
 * warming up.
 */
final class EndpointRegistry {

    /**
     * How long an endpoint that is no longer registered is remembered, in milliseconds, as a store
     * that returns from a copy may bring its registration back.
     */
    private static final long DEPARTED_MEMORY_MS = 120_000;

    private final ToLongFunction<ServiceId> mWarmupMs;
    private final Map<EndpointId, TrackedEndpoint> mTracked = new HashMap<>();
    private final Map<EndpointId, DepartedEndpoint> mDeparted = new HashMap<>();
    private StoreEra mEra = StoreEra.UNREPORTED;
    private Set<EndpointId> mMissing = Set.of();
    private long mDigest;
    private Set<FailureDomainId> mEvacuated = Set.of();
    private boolean mHasRead;
    private final ReregistrationWindow mWindow;

    /**
     * Creates a registry.
     *
     * @param warmupMs returns the warm-up time of a service in milliseconds
     * @param window decides for how long endpoints without a registration are kept
     */
    EndpointRegistry(ToLongFunction<ServiceId> warmupMs, ReregistrationWindow window) {
        mWarmupMs = warmupMs;
        mWindow = window;
    }

    /**
     * Drops the endpoints without a registration once the time to register again is over; returns
     * whether there were any.
     */
    boolean expireMissing(long nowMs) {
        if (mMissing.isEmpty() || mWindow.isOpen(nowMs)) {
            return false;
        }
        for (EndpointId id : mMissing) {
            EndpointRegistration registration = mTracked.remove(id).registration();
            mDeparted.put(id, new DepartedEndpoint(registration, mEra, nowMs));
        }
        mMissing = Set.of();
        return true;
    }

    /** Returns the tracked endpoints that the last endpoint list lacks. */
    Set<EndpointId> missing() {
        return mMissing;
    }

    /** Returns a digest of the last endpoint list. */
    long digest() {
        return mDigest;
    }

    private static long digest(Map<EndpointId, EndpointRegistration> found) {
        long digest = 0;
        for (EndpointRegistration registration : found.values()) {
            Endpoint endpoint = registration.endpoint();
            // The remaining warm-up shrinks with each read, so only whether there is any counts.
            String text =
                    String.join(
                            "/",
                            endpoint.id().value(),
                            endpoint.service().value(),
                            endpoint.failureDomain().value(),
                            endpoint.host(),
                            Integer.toString(endpoint.port()),
                            Integer.toString(endpoint.slots()),
                            Boolean.toString(registration.leaving()),
                            Boolean.toString(registration.warmupMs() > 0),
                            Long.toString(registration.startedMs()));
            digest += RendezvousHashing.weight("endpoint", text);
        }
        return digest;
    }

    /**
     * Applies a complete endpoint list that was read in an era of the store, which must not be
     * older than that of the last list; returns whether any tracked endpoint or its state changed.
     *
     * <p>The first lists of a new era may come from a copy of the store: they may lack endpoints
     * that have not registered again, and contain registrations that were replaced or removed.
     */
    boolean update(Map<EndpointId, EndpointRegistration> found, StoreEra era, long nowMs) {
        if (era.isAfter(mEra) && mHasRead) {
            mWindow.open(nowMs);
        }
        mEra = era;
        mDigest = digest(found);
        boolean changed = false;
        for (EndpointRegistration registration : found.values()) {
            changed |= update(registration, nowMs);
        }
        mHasRead = true;
        mDeparted.values().removeIf(departed -> nowMs - departed.atMs() > DEPARTED_MEMORY_MS);
        Set<EndpointId> missing = new HashSet<>(mTracked.keySet());
        missing.removeAll(found.keySet());
        mMissing = Set.copyOf(missing);
        return changed | expireMissing(nowMs);
    }

    private boolean update(EndpointRegistration registration, long nowMs) {
        EndpointId id = registration.endpoint().id();
        if (isReplaced(registration)) {
            return false;
        }
        mDeparted.remove(id);
        TrackedEndpoint before = mTracked.get(id);
        TrackedEndpoint after =
                new TrackedEndpoint(registration, coldUntilMs(before, registration, nowMs), mEra);
        mTracked.put(id, after);
        return before == null
                || !before.registration().endpoint().equals(registration.endpoint())
                || before.registration().leaving() != registration.leaving()
                || before.registration().startedMs() != registration.startedMs()
                || after.coldUntilMs() > before.coldUntilMs();
    }

    /**
     * Returns whether the endpoint had written a newer registration, or had removed this one, in an
     * earlier era.
     */
    private boolean isReplaced(EndpointRegistration registration) {
        EndpointId id = registration.endpoint().id();
        TrackedEndpoint tracked = mTracked.get(id);
        if (tracked != null) {
            return mEra.isAfter(tracked.era()) && registration.isOlderThan(tracked.registration());
        }
        DepartedEndpoint departed = mDeparted.get(id);
        return departed != null
                && mEra.isAfter(departed.era())
                && !departed.registration().isOlderThan(registration);
    }

    private long coldUntilMs(
            TrackedEndpoint before, EndpointRegistration registration, long nowMs) {
        long registeredColdUntilMs =
                registration.warmupMs() > 0 ? nowMs + registration.warmupMs() : Long.MIN_VALUE;
        if (before == null && !mHasRead) {
            return registeredColdUntilMs;
        }
        boolean restarted =
                before == null || before.registration().startedMs() != registration.startedMs();
        if (restarted) {
            return Math.max(
                    registeredColdUntilMs,
                    nowMs + mWarmupMs.applyAsLong(registration.endpoint().service()));
        }
        return Math.max(registeredColdUntilMs, before.coldUntilMs());
    }

    /**
     * Sets the evacuated failure domains; endpoints whose evacuation ends start a new warm-up.
     * Returns whether the set changed.
     */
    boolean setEvacuated(Set<FailureDomainId> evacuated, long nowMs) {
        if (evacuated.equals(mEvacuated)) {
            return false;
        }
        Set<FailureDomainId> returning = new HashSet<>(mEvacuated);
        returning.removeAll(evacuated);
        mEvacuated = Set.copyOf(evacuated);
        mTracked.replaceAll(
                (id, tracked) ->
                        returning.contains(tracked.registration().endpoint().failureDomain())
                                ? tracked.coldForAtLeast(
                                        mWarmupMs.applyAsLong(
                                                tracked.registration().endpoint().service()),
                                        nowMs)
                                : tracked);
        return true;
    }

    /** Returns all tracked endpoints. */
    List<EndpointAvailability> availabilities() {
        List<EndpointAvailability> availabilities = new ArrayList<>();
        for (TrackedEndpoint tracked : mTracked.values()) {
            boolean evacuated =
                    mEvacuated.contains(tracked.registration().endpoint().failureDomain());
            availabilities.add(
                    new EndpointAvailability(
                            tracked.registration().endpoint(),
                            !tracked.registration().leaving() && !evacuated,
                            tracked.coldUntilMs(),
                            tracked.registration().startedMs()));
        }
        return availabilities;
    }

    /** Returns whether the registrations have been read at least once. */
    boolean hasRead() {
        return mHasRead;
    }

    private record DepartedEndpoint(EndpointRegistration registration, StoreEra era, long atMs) {}

    /** An endpoint, when its warm-up ends, and the era in which its registration was read. */
    private record TrackedEndpoint(
            EndpointRegistration registration, long coldUntilMs, StoreEra era) {

        TrackedEndpoint coldForAtLeast(long warmupMs, long nowMs) {
            return new TrackedEndpoint(registration, Math.max(coldUntilMs, nowMs + warmupMs), era);
        }
    }
}
