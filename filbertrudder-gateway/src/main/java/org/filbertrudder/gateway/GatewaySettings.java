package org.filbertrudder.gateway;

import java.util.List;
import java.util.Map;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.policy.membership.PeerAddress;

/**
 * Holds the settings of a gateway instance.
 *
 * @param id the instance's id
 * @param failureDomain where the instance runs
 * @param domains the region of each failure domain
 * @param callers the address for callers' requests
 * @param readiness the address for readiness checks
 * @param peers the address for control messages of other instances
 * @param directory the address where callers ask which instances to use
 * @param forwardPort the TCP port for requests that other instances forward
 * @param metricsPort the TCP port for metrics and the state dump
 * @param store the address of the platform's key-value store
 * @param seeds addresses of other instances; some may be stale
 * @param bounds the limits that the deployment demands
 * @param strength the processor share of the instance, in hundredths of a core
 */
public record GatewaySettings(
        InstanceId id,
        FailureDomainId failureDomain,
        Map<FailureDomainId, RegionId> domains,
        PeerAddress callers,
        PeerAddress readiness,
        PeerAddress peers,
        PeerAddress directory,
        int forwardPort,
        int metricsPort,
        PeerAddress store,
        List<PeerAddress> seeds,
        BoundSettings bounds,
        int strength) {

    /** Copies the collections. */
    public GatewaySettings {
        domains = Map.copyOf(domains);
        seeds = List.copyOf(seeds);
    }

    /** Returns the region where the instance runs. */
    public RegionId region() {
        return domains.get(failureDomain);
    }
}
