package org.filbertrudder.gateway.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;
import org.filbertrudder.gateway.config.EndpointEntry;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.policy.Rendezvous;

/** Tracks the registered endpoints: which are leaving, gone, evacuated or cold. */
final class EndpointRegistry {

    /**
     * How long after an outage of the store a missing endpoint may register again, in milliseconds;
     * the platform promises about two seconds.
     */
    private static final long RETURN_MS = 2_500;

    private final ToLongFunction<ServiceId> mWarmupMs;
    private final Map<EndpointId, Known> mKnown = new HashMap<>();
    private Set<EndpointId> mFound = Set.of();
    private long mDigest;
    private Set<FailureDomainId> mEvacuated = Set.of();
    private boolean mComplete;
    private boolean mOutage;
    private long mKeepMissingUntilMs = Long.MIN_VALUE / 2;

    /** Creates a registry; the function tells how long a service's endpoints stay cold, in ms. */
    EndpointRegistry(ToLongFunction<ServiceId> warmupMs) {
        mWarmupMs = warmupMs;
    }

    /** Notes that the store could not be read. */
    void noteOutage() {
        mOutage = true;
    }

    /** Notes that another instance, whose reading is adopted, waits for missing endpoints. */
    void noteOthersOutage(long nowMs) {
        if (nowMs > mKeepMissingUntilMs + RETURN_MS) {
            mKeepMissingUntilMs = nowMs + RETURN_MS;
        }
    }

    /** Returns whether endpoints that are missing after an outage may still register again. */
    boolean isAfterOutage(long nowMs) {
        return mOutage || nowMs < mKeepMissingUntilMs;
    }

    /** Notes that the last reading is still right; returns whether that changes anything. */
    boolean confirm(long nowMs) {
        if (mOutage) {
            mOutage = false;
            mKeepMissingUntilMs = nowMs + RETURN_MS;
        }
        return nowMs >= mKeepMissingUntilMs && mKnown.keySet().retainAll(mFound);
    }

    /** Returns a digest of what the last reading says of the endpoints. */
    long digest() {
        return mDigest;
    }

    private static long digest(Map<EndpointId, EndpointEntry> found) {
        long digest = 0;
        for (EndpointEntry entry : found.values()) {
            Endpoint endpoint = entry.endpoint();
            // The rest of a warm-up shrinks with each reading, so only its presence counts.
            String text =
                    String.join(
                            "/",
                            endpoint.id().value(),
                            endpoint.service().value(),
                            endpoint.failureDomain().value(),
                            endpoint.host(),
                            Integer.toString(endpoint.port()),
                            Integer.toString(endpoint.slots()),
                            Boolean.toString(entry.leaving()),
                            Boolean.toString(entry.warmupMs() > 0),
                            Long.toString(entry.startedMs()));
            digest += Rendezvous.weight("endpoint", text);
        }
        return digest;
    }

    /** Adopts a complete reading; returns whether anything of interest has changed. */
    boolean update(Map<EndpointId, EndpointEntry> found, long nowMs) {
        mFound = Set.copyOf(found.keySet());
        mDigest = digest(found);
        boolean changed = false;
        for (EndpointEntry entry : found.values()) {
            changed |= update(entry, nowMs);
        }
        mComplete = true;
        return changed | confirm(nowMs);
    }

    private boolean update(EndpointEntry entry, long nowMs) {
        EndpointId id = entry.endpoint().id();
        Known before = mKnown.get(id);
        Known after = new Known(entry, coldUntilMs(before, entry, nowMs));
        mKnown.put(id, after);
        return before == null
                || !before.entry().endpoint().equals(entry.endpoint())
                || before.entry().leaving() != entry.leaving()
                || before.entry().startedMs() != entry.startedMs()
                || after.coldUntilMs() > before.coldUntilMs();
    }

    private long coldUntilMs(Known before, EndpointEntry entry, long nowMs) {
        long registeredMs = entry.warmupMs() > 0 ? nowMs + entry.warmupMs() : Long.MIN_VALUE;
        if (before == null && !mComplete) {
            return registeredMs;
        }
        boolean restarted = before == null || before.entry().startedMs() != entry.startedMs();
        if (restarted) {
            return Math.max(
                    registeredMs, nowMs + mWarmupMs.applyAsLong(entry.endpoint().service()));
        }
        return Math.max(registeredMs, before.coldUntilMs());
    }

    /** Adopts the evacuated failure domains; endpoints that come back count as cold. */
    boolean setEvacuated(Set<FailureDomainId> evacuated, long nowMs) {
        if (evacuated.equals(mEvacuated)) {
            return false;
        }
        Set<FailureDomainId> returning = new HashSet<>(mEvacuated);
        returning.removeAll(evacuated);
        mEvacuated = Set.copyOf(evacuated);
        mKnown.replaceAll(
                (id, known) ->
                        returning.contains(known.entry().endpoint().failureDomain())
                                ? known.coldFor(
                                        mWarmupMs.applyAsLong(known.entry().endpoint().service()),
                                        nowMs)
                                : known);
        return true;
    }

    /** Returns all endpoints that are not gone. */
    List<EndpointView> views() {
        List<EndpointView> views = new ArrayList<>();
        for (Known known : mKnown.values()) {
            boolean evacuated = mEvacuated.contains(known.entry().endpoint().failureDomain());
            views.add(
                    new EndpointView(
                            known.entry().endpoint(),
                            !known.entry().leaving() && !evacuated,
                            known.coldUntilMs(),
                            known.entry().startedMs()));
        }
        return views;
    }

    /** Returns whether the registrations have been read at least once. */
    boolean isComplete() {
        return mComplete;
    }

    private record Known(EndpointEntry entry, long coldUntilMs) {

        Known coldFor(long warmupMs, long nowMs) {
            return new Known(entry, Math.max(coldUntilMs, nowMs + warmupMs));
        }
    }
}
