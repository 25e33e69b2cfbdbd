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
 * @param region where the instance runs
 * @param failureDomain where the instance runs
 * @param host the IP number to listen on
 * @param callerPort the TCP port for callers; 0 chooses a free one
 * @param adminPort the TCP port for operators; 0 chooses a free one
 * @param peerPort the TCP port for control messages of other instances; 0 chooses a free one
 * @param forwardPort the TCP port for forwarded requests; 0 chooses a free one
 * @param store the address of the platform's key-value store
 * @param platform the address of the live list and the caller directory
 * @param seeds addresses of other instances
 * @param operators the operators' credentials
 * @param peerSecurity how connections between instances are secured
 * @param callerTls the certificate for callers, or null for plain HTTP
 * @param maxBodyBytes the longest request body, in bytes
 * @param trafficThreads the number of threads for traffic
 * @param drainTimeoutMs how long a stop waits for running requests, in milliseconds
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
