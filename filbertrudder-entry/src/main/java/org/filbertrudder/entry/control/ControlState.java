package org.filbertrudder.entry.control;

import java.util.List;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.ShardOwner;
import org.filbertrudder.policy.tokens.TokenHolder;
import org.filbertrudder.store.StoreCallCounts;

/**
 * Represents the control state in a state dump.
 *
 * @param self this instance
 * @param members all known members
 * @param revision the configuration revision in force
 * @param digest the digest of the change history up to that revision
 * @param forkedOffers the number of changes that were rejected because their history is forked
 * @param revisions the newest revision that each member has reported
 * @param shardOwners the known shard ownership records
 * @param grantsSuspended whether token grants are suspended after a pause of the process
 * @param accountsHeld the account shares from which this instance grants tokens
 * @param accounts the number of configured client accounts
 * @param suspectRequests the number of requests that were running when an endpoint crashed
 * @param orders the services to whose engines this instance sends orders
 * @param storeCalls the calls made to the store
 * @param peerTraffic the message traffic with other instances
 */
public record ControlState(
        Member self,
        List<Member> members,
        long revision,
        String digest,
        long forkedOffers,
        List<MemberRevision> revisions,
        List<ShardOwner> shardOwners,
        boolean grantsSuspended,
        List<TokenHolder.AccountState> accountsHeld,
        int accounts,
        int suspectRequests,
        List<OrderCoordinator.OrderState> orders,
        StoreCallCounts storeCalls,
        PeerTraffic peerTraffic) {

    /**
     * Represents the newest configuration revision that a member has reported.
     *
     * @param id the member's id
     * @param state the member's state
     * @param revision the revision; 0 if the member has reported none
     */
    public record MemberRevision(InstanceId id, MemberState state, long revision) {}

    /**
     * Counts the messages exchanged with other instances.
     *
     * @param messagesSent messages sent
     * @param bytesSent bytes sent
     * @param messagesReceived messages received
     * @param bytesReceived bytes received
     * @param rejected connections closed because of a protocol error, a failed message handler or a
     *     failed TLS handshake
     */
    public record PeerTraffic(
            long messagesSent,
            long bytesSent,
            long messagesReceived,
            long bytesReceived,
            long rejected) {}
}
