package org.filbertrudder.policy.limits;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.BiConsumer;
import org.filbertrudder.model.EndpointId;

/**
 * Stores the request limits that endpoints have stated.
 *
 * <p>A limit applies until a later response of the endpoint states another one or none. It outlasts
 * a restart of the endpoint under the same id until the new process responds.
 */
public final class EndpointLimits {

    /** The maximum number of endpoints with a limit; further ones are ignored. */
    private static final int MAX_ENDPOINTS = 10_000;

    /** How long the end of a limit is remembered, so that instances can tell each other. */
    private static final long LIFTED_LIFETIME_MS = 10_000;

    /** How long the limit of an endpoint without a registration is remembered. */
    private static final long UNREGISTERED_LIFETIME_MS = 600_000;

    private final Map<EndpointId, LimitObservation> mObservations = new HashMap<>();

    /** Lists how an observation can change what is known. */
    public enum ChangeKind {
        /** The endpoint had no limit before. */
        STATED,
        /** The endpoint had a different limit before. */
        CHANGED,
        /** The endpoint no longer has a limit. */
        LIFTED
    }

    /**
     * Describes a change of an endpoint's limit.
     *
     * @param kind the kind of change
     * @param before the limit before, in requests per second
     * @param after the limit now, in requests per second
     */
    public record Change(ChangeKind kind, OptionalDouble before, OptionalDouble after) {

        /** Returns whether the endpoint has ended or raised its limit. */
        public boolean isRelaxed() {
            return before.isPresent()
                    && after.orElse(Double.POSITIVE_INFINITY) > before.getAsDouble();
        }
    }

    /**
     * Records an observation; the response of an endpoint without a limit that states none has no
     * effect.
     *
     * @return the change of the limit in force, if any
     */
    public Optional<Change> record(EndpointId endpoint, LimitObservation observation) {
        LimitObservation known = mObservations.get(endpoint);
        if (known == null) {
            if (observation.perSecond().isEmpty() || mObservations.size() >= MAX_ENDPOINTS) {
                return Optional.empty();
            }
            mObservations.put(endpoint, observation);
            return Optional.of(change(OptionalDouble.empty(), observation.perSecond()));
        }
        LimitObservation merged = known.merge(observation);
        mObservations.put(endpoint, merged);
        return merged.perSecond().equals(known.perSecond())
                ? Optional.empty()
                : Optional.of(change(known.perSecond(), merged.perSecond()));
    }

    private static Change change(OptionalDouble before, OptionalDouble after) {
        ChangeKind kind = before.isEmpty() ? ChangeKind.STATED : ChangeKind.CHANGED;
        return new Change(after.isEmpty() ? ChangeKind.LIFTED : kind, before, after);
    }

    /** Returns the limit of an endpoint in requests per second; empty if it has none. */
    public OptionalDouble perSecond(EndpointId endpoint) {
        LimitObservation observation = mObservations.get(endpoint);
        return observation == null ? OptionalDouble.empty() : observation.perSecond();
    }

    /** Returns what is known about the limit of an endpoint. */
    public Optional<LimitObservation> find(EndpointId endpoint) {
        return Optional.ofNullable(mObservations.get(endpoint));
    }

    /** Passes each endpoint that has or recently had a limit to the action. */
    public void forEach(BiConsumer<EndpointId, LimitObservation> action) {
        mObservations.forEach(action);
    }

    /** Returns whether any endpoint has a limit. */
    public boolean hasLimits() {
        return mObservations.values().stream().anyMatch(each -> each.perSecond().isPresent());
    }

    /** Returns the number of endpoints with a limit. */
    public int size() {
        return (int)
                mObservations.values().stream()
                        .filter(observation -> observation.perSecond().isPresent())
                        .count();
    }

    /**
     * Forgets limits that ended some time ago, and those of endpoints that have not been registered
     * for a long time; a registration may expire while the endpoint runs.
     */
    public void expire(Collection<EndpointId> registered, long nowMs) {
        mObservations
                .entrySet()
                .removeIf(
                        entry -> {
                            long ageMs = nowMs - entry.getValue().receivedMs();
                            boolean lifted = entry.getValue().perSecond().isEmpty();
                            return lifted
                                    ? ageMs > LIFTED_LIFETIME_MS
                                    : ageMs > UNREGISTERED_LIFETIME_MS
                                            && !registered.contains(entry.getKey());
                        });
    }
}
