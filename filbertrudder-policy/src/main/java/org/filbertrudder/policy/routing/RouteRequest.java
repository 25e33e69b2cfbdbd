package org.filbertrudder.policy.routing;

import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;

/**
 * Describes a request for the routing decision.
 *
 * @param service the service
 * @param allowed tells which regions are allowed to serve the request
 * @param affinityKey requests with the same key share cached state on an endpoint; may be empty
 * @param excludedEndpoints endpoints that must not be tried again
 * @param pinnedEndpoint the one endpoint of this region on which the request may run; empty for any
 * @param exclusive whether the request may run only on an idle endpoint
 * @param forwarded whether another region has forwarded the request
 * @param mayWaitForBusyEngine whether the request may wait for a busy engine that has probably
 *     cached its shared prompt parts
 * @param prompt the prompt and its expected token use, if known
 * @param remainingMs the time until the response must have ended, in milliseconds
 * @param waitedShare the share of its allowed waiting time that the request has waited
 */
public record RouteRequest(
        ServiceId service,
        Predicate<RegionId> allowed,
        String affinityKey,
        Set<EndpointId> excludedEndpoints,
        Optional<EndpointId> pinnedEndpoint,
        boolean exclusive,
        boolean forwarded,
        boolean mayWaitForBusyEngine,
        Optional<PromptDemand> prompt,
        long remainingMs,
        double waitedShare) {

    /** The remaining time of a request without a deadline, in milliseconds. */
    public static final long NO_DEADLINE = Long.MAX_VALUE;

    /** Describes a request that has not waited. */
    public RouteRequest(
            ServiceId service,
            Predicate<RegionId> allowed,
            String affinityKey,
            Set<EndpointId> excludedEndpoints,
            Optional<EndpointId> pinnedEndpoint,
            boolean exclusive,
            boolean forwarded,
            boolean mayWaitForBusyEngine,
            Optional<PromptDemand> prompt,
            long remainingMs) {
        this(
                service,
                allowed,
                affinityKey,
                excludedEndpoints,
                pinnedEndpoint,
                exclusive,
                forwarded,
                mayWaitForBusyEngine,
                prompt,
                remainingMs,
                0);
    }

    /** Describes a request without a deadline. */
    public RouteRequest(
            ServiceId service,
            Predicate<RegionId> allowed,
            String affinityKey,
            Set<EndpointId> excludedEndpoints,
            Optional<EndpointId> pinnedEndpoint,
            boolean exclusive,
            boolean forwarded,
            boolean mayWaitForBusyEngine,
            Optional<PromptDemand> prompt) {
        this(
                service,
                allowed,
                affinityKey,
                excludedEndpoints,
                pinnedEndpoint,
                exclusive,
                forwarded,
                mayWaitForBusyEngine,
                prompt,
                NO_DEADLINE);
    }

    /** Describes a request without prompt details, which does not wait for a busy engine. */
    public RouteRequest(
            ServiceId service,
            Predicate<RegionId> allowed,
            String affinityKey,
            Set<EndpointId> excludedEndpoints,
            Optional<EndpointId> pinnedEndpoint,
            boolean exclusive,
            boolean forwarded) {
        this(
                service,
                allowed,
                affinityKey,
                excludedEndpoints,
                pinnedEndpoint,
                exclusive,
                forwarded,
                false,
                Optional.empty());
    }
}
