package org.filbertrudder.entry.control;

import java.util.List;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.ShardOwner;
import org.filbertrudder.policy.tokens.TokenHolder;
import org.filbertrudder.store.StoreCalls;

/**
 * Shows the control state in a dump.
 *
 * @param self this instance
 * @param members all known members
 * @param revision the configuration revision in force
 * @param digest the digest of its history
 * @param forkedOffers the number of offers of another history
 * @param revisions the newest known revision of each member
 * @param shardOwners the known owners of shards
 * @param grantsSuspended whether grants are suspended after a pause
 * @param accountsHeld the shares of accounts that this instance grants
 * @param accounts the number of configured client accounts
 * @param suspectRequests the number of requests known to have been at a crash
 * @param orders the services that this instance gives orders to
 * @param storeCalls the calls made to the store
 * @param peerTraffic the traffic with other instances
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
        List<OrderDesk.OrderState> orders,
        StoreCalls storeCalls,
        PeerTraffic peerTraffic) {

    /**
     * Shows which revision is in force at a member.
     *
     * @param id the member
     * @param state the member's state
     * @param revision the newest revision that it has reported
     */
    public record MemberRevision(InstanceId id, MemberState state, long revision) {}

    /**
     * Counts the traffic with other instances.
     *
     * @param messagesSent messages sent
     * @param bytesSent bytes sent
     * @param messagesReceived messages received
     * @param bytesReceived bytes received
     * @param rejected connections closed because of malformed frames
     */
    public record PeerTraffic(
            long messagesSent,
            long bytesSent,
            long messagesReceived,
            long bytesReceived,
            long rejected) {}
}
