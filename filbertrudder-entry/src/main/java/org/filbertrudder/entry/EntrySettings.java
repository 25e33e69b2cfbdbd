package org.filbertrudder.entry;

import java.util.List;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.peer.PeerSecurity;
import org.filbertrudder.policy.membership.PeerAddress;

/**
 * Holds the settings of an entry instance.
 *
 * @param id the instance's id
 * @param region the region in which the instance runs
 * @param failureDomain the failure domain in which the instance runs
 * @param host the IP address to listen on
 * @param callerPort the TCP port for callers; 0 chooses a free one
 * @param adminPort the TCP port of the administration API; 0 chooses a free one
 * @param peerPort the TCP port for control messages of other instances; 0 chooses a free one
 * @param forwardPort the TCP port for requests that other instances forward; 0 chooses a free one
 * @param store the address of the platform's key-value store
 * @param platform the address of the platform API that serves the live list and the caller
 *     directory
 * @param seeds the peer addresses of instances to join the fleet through
 * @param operators the operators' credentials, in addition to those in the configuration
 * @param peerSecurity the security settings of connections between instances
 * @param callerTls the server certificate of the caller port, or null to serve plain HTTP
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param trafficThreads the number of event loop threads that process traffic
 * @param drainTimeoutMs how long a shutdown waits for running requests, in milliseconds
 */
public record EntrySettings(
        InstanceId id,
        RegionId region,
        FailureDomainId failureDomain,
        String host,
        int callerPort,
        int adminPort,
        int peerPort,
        int forwardPort,
        PeerAddress store,
        PeerAddress platform,
        List<PeerAddress> seeds,
        List<OperatorCredential> operators,
        PeerSecurity peerSecurity,
        TlsCertificate callerTls,
        int maxBodyBytes,
        int trafficThreads,
        long drainTimeoutMs) {}
