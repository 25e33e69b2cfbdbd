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
 * @param id the id of the instance
 * @param failureDomain the failure domain in which the instance runs
 * @param domains the region of each failure domain
 * @param callerAddress the address on which callers' requests are accepted
 * @param readinessAddress the address on which readiness checks are answered
 * @param peerAddress the address on which control messages of other instances are accepted
 * @param directoryAddress the address on which callers look up the instances to use
 * @param forwardPort the TCP port for requests that other instances forward
 * @param metricsPort the TCP port for metrics and the state dump
 * @param storeAddress the address of the platform's key-value store
 * @param seeds the addresses of other instances to join; some may be out of date
 * @param bounds the time limits and retry budgets that the deployment requires
 * @param strength the processor capacity of the instance, in hundredths of a core
 * @param limitsUnreadBytes whether endpoints cut off responses that stay unread, and crash when the
 *     requests that they hold exceed their memory
 */
public record GatewaySettings(
        InstanceId id,
        FailureDomainId failureDomain,
        Map<FailureDomainId, RegionId> domains,
        PeerAddress callerAddress,
        PeerAddress readinessAddress,
        PeerAddress peerAddress,
        PeerAddress directoryAddress,
        int forwardPort,
        int metricsPort,
        PeerAddress storeAddress,
        List<PeerAddress> seeds,
        BoundSettings bounds,
        int strength,
        boolean limitsUnreadBytes) {

    /** Makes immutable copies of the collections. */
    public GatewaySettings {
        domains = Map.copyOf(domains);
        seeds = List.copyOf(seeds);
    }

    /** Returns the region of the failure domain in which the instance runs. */
    public RegionId region() {
        return domains.get(failureDomain);
    }
}
