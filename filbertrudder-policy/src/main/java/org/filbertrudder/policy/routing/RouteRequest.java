package org.filbertrudder.policy.routing;

import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;

/**
 * Describes a request to the routing decision.
 *
 * @param service the service
 * @param allowed tells which regions may serve the request
 * @param affinityKey requests with the same key profit from the same endpoint; may be empty
 * @param tried endpoints that must not be tried again
 * @param only the only endpoint of this region where the request may run; empty for any
 * @param alone whether the request may run only on an idle endpoint
 * @param forwarded whether another region has forwarded the request
 * @param patient whether the request may wait for the engine that keeps its prompt's shared parts
 * @param prompt what the request needs of a model engine, if that is known
 */
public record RouteRequest(
        ServiceId service,
        Predicate<RegionId> allowed,
        String affinityKey,
        Set<EndpointId> tried,
        Optional<EndpointId> only,
        boolean alone,
        boolean forwarded,
        boolean patient,
        Optional<PromptDemand> prompt) {

    /** Describes a request whose prompt is not known in detail. */
    public RouteRequest(
            ServiceId service,
            Predicate<RegionId> allowed,
            String affinityKey,
            Set<EndpointId> tried,
            Optional<EndpointId> only,
            boolean alone,
            boolean forwarded) {
        this(service, allowed, affinityKey, tried, only, alone, forwarded, false, Optional.empty());
    }
}
