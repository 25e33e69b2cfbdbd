package org.filbertrudder.model.message;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Change;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.Entity;
import org.filbertrudder.model.KeyId;
import org.filbertrudder.model.RegionId;

/** Represents a message between two entry instances. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
    @JsonSubTypes.Type(value = PeerMessage.Hello.class, name = "he"),
    @JsonSubTypes.Type(value = PeerMessage.Heartbeat.class, name = "hb"),
    @JsonSubTypes.Type(value = PeerMessage.HeartbeatAck.class, name = "ha"),
    @JsonSubTypes.Type(value = PeerMessage.MemberUpdates.class, name = "mu"),
    @JsonSubTypes.Type(value = PeerMessage.MembersRequest.class, name = "mr"),
    @JsonSubTypes.Type(value = PeerMessage.ChangePush.class, name = "cp"),
    @JsonSubTypes.Type(value = PeerMessage.ChangesRequest.class, name = "cr"),
    @JsonSubTypes.Type(value = PeerMessage.SnapshotPush.class, name = "sp"),
    @JsonSubTypes.Type(value = PeerMessage.ShardUpdates.class, name = "su"),
    @JsonSubTypes.Type(value = PeerMessage.ShardHandover.class, name = "sh"),
    @JsonSubTypes.Type(value = PeerMessage.ReserveRequest.class, name = "rq"),
    @JsonSubTypes.Type(value = PeerMessage.ReserveReply.class, name = "rr"),
    @JsonSubTypes.Type(value = PeerMessage.Settle.class, name = "se"),
    @JsonSubTypes.Type(value = PeerMessage.LoanRequest.class, name = "lr"),
    @JsonSubTypes.Type(value = PeerMessage.LoanGrant.class, name = "lg"),
    @JsonSubTypes.Type(value = PeerMessage.CrashReport.class, name = "cx"),
    @JsonSubTypes.Type(value = PeerMessage.ForwardStart.class, name = "fs"),
    @JsonSubTypes.Type(value = PeerMessage.ForwardHead.class, name = "fh"),
    @JsonSubTypes.Type(value = PeerMessage.ForwardData.class, name = "fd"),
    @JsonSubTypes.Type(value = PeerMessage.ForwardEnd.class, name = "fe"),
    @JsonSubTypes.Type(value = PeerMessage.ForwardCancel.class, name = "fc"),
    @JsonSubTypes.Type(value = PeerMessage.ForwardCredit.class, name = "fw"),
    @JsonSubTypes.Type(value = PeerMessage.ForwardAlive.class, name = "fa"),
    @JsonSubTypes.Type(value = PeerMessage.StateRequest.class, name = "tr"),
    @JsonSubTypes.Type(value = PeerMessage.StateReply.class, name = "ts"),
    @JsonSubTypes.Type(value = PeerMessage.LoadReport.class, name = "lo"),
    @JsonSubTypes.Type(value = PeerMessage.LoadSum.class, name = "ls"),
    @JsonSubTypes.Type(value = PeerMessage.RegionReport.class, name = "rg")
})
public sealed interface PeerMessage {

    /**
     * Opens a connection.
     *
     * @param version the protocol version of the sender
     * @param sender the member that opened the connection
     */
    record Hello(int version, Member sender) implements PeerMessage {}

    /**
     * Proves that the sender is alive.
     *
     * @param sender the sender's own description
     * @param revision the configuration revision in force at the sender
     * @param members the digest of the sender's member table
     */
    record Heartbeat(Member sender, long revision, int members) implements PeerMessage {}

    /**
     * Answers a heartbeat.
     *
     * @param sender the sender's own description
     * @param revision the configuration revision in force at the sender
     * @param members the digest of the sender's member table
     */
    record HeartbeatAck(Member sender, long revision, int members) implements PeerMessage {}

    /**
     * Spreads news of members.
     *
     * @param members the newest descriptions
     */
    record MemberUpdates(List<Member> members) implements PeerMessage {}

    /** Asks for the whole member table and the shard owners. */
    record MembersRequest() implements PeerMessage {}

    /**
     * Spreads accepted changes.
     *
     * @param changes consecutive changes, oldest first
     */
    record ChangePush(List<Change> changes) implements PeerMessage {}

    /**
     * Asks for the changes after a revision.
     *
     * @param afterRevision the revision in force at the sender
     */
    record ChangesRequest(long afterRevision) implements PeerMessage {}

    /**
     * Carries a whole configuration to a member that is too far behind for single changes.
     *
     * @param revision the revision of the configuration
     * @param digest the digest of its history
     * @param entities all entities
     */
    record SnapshotPush(long revision, String digest, List<Entity> entities)
            implements PeerMessage {}

    /**
     * Spreads changes of shard owners.
     *
     * @param owners the newest owners
     */
    record ShardUpdates(List<ShardOwner> owners) implements PeerMessage {}

    /**
     * Hands the levels of a released shard to its next owner.
     *
     * @param region the region
     * @param shard the shard
     * @param epoch the fencing number of the owner that released the shard
     * @param shares the shares of the shard's accounts
     */
    record ShardHandover(RegionId region, int shard, long epoch, List<HandedShare> shares)
            implements PeerMessage {}

    /**
     * Asks the holder of an account's share for tokens.
     *
     * @param id correlates the reply
     * @param account the client account
     * @param tokens the number of tokens
     * @param deadlineMs how long the reply is of use, in milliseconds from now
     */
    record ReserveRequest(long id, AccountId account, long tokens, long deadlineMs)
            implements PeerMessage {}

    /**
     * Answers a request for tokens.
     *
     * @param id the id of the request
     * @param outcome whether the tokens are granted
     * @param reservation names the reservation at the holder
     * @param retryAfterMs when to come back, in milliseconds, if they are not granted
     * @param waitedMs how long the request waited at the holder, in milliseconds
     */
    record ReserveReply(
            long id, ReserveOutcome outcome, long reservation, long retryAfterMs, long waitedMs)
            implements PeerMessage {}

    /**
     * Ends a reservation.
     *
     * @param account the client account
     * @param reservation the reservation at the holder
     * @param unusedTokens the tokens that were not consumed
     */
    record Settle(AccountId account, long reservation, long unusedTokens) implements PeerMessage {}

    /**
     * Asks the holder in another region for part of its share.
     *
     * @param id correlates the reply
     * @param account the client account
     * @param ratePerSecond the rate that is missing, in tokens per second
     * @param tokens the tokens that are missing now
     */
    record LoanRequest(long id, AccountId account, double ratePerSecond, double tokens)
            implements PeerMessage {}

    /**
     * Lends part of a share for a limited time.
     *
     * @param id the id of the request
     * @param account the client account
     * @param ratePerSecond the rate lent, in tokens per second
     * @param tokens the tokens and burst lent
     * @param termMs how long the loan lasts after the request was sent, in milliseconds
     */
    record LoanGrant(long id, AccountId account, double ratePerSecond, double tokens, long termMs)
            implements PeerMessage {}

    /**
     * Reports that an endpoint crashed while it ran a request.
     *
     * @param account the client account that sent the request
     * @param bodySha256 the digest of the request's body
     * @param endpoint the endpoint that crashed
     * @param atMs when the crash was noticed, in milliseconds since the epoch
     * @param alone whether the request ran alone on the endpoint
     */
    record CrashReport(
            AccountId account, String bodySha256, EndpointId endpoint, long atMs, boolean alone)
            implements PeerMessage {}

    /**
     * Forwards a request to an instance in another region; it is never forwarded again.
     *
     * @param stream names the exchange on this connection
     * @param requestId the request's id
     * @param account the client account
     * @param key the key that the caller showed, by id
     * @param revision the configuration revision in force at the sender
     * @param origin the region that the request came from
     * @param method the HTTP method
     * @param uri the path and query
     * @param headers the headers that may reach an endpoint
     * @param body the request's body
     * @param deadlineMs the time left to the request, in milliseconds
     */
    record ForwardStart(
            long stream,
            String requestId,
            AccountId account,
            KeyId key,
            long revision,
            RegionId origin,
            String method,
            String uri,
            Map<String, String> headers,
            byte[] body,
            long deadlineMs)
            implements PeerMessage {}

    /**
     * Carries the status line and headers of a forwarded request's answer.
     *
     * @param stream the exchange
     * @param status the HTTP status
     * @param headers the answer's headers
     */
    record ForwardHead(long stream, int status, Map<String, String> headers)
            implements PeerMessage {}

    /**
     * Carries part of the answer's body.
     *
     * @param stream the exchange
     * @param data the bytes
     */
    record ForwardData(long stream, byte[] data) implements PeerMessage {}

    /**
     * Ends the answer.
     *
     * @param stream the exchange
     * @param complete whether the answer is whole
     */
    record ForwardEnd(long stream, boolean complete) implements PeerMessage {}

    /**
     * Cancels a forwarded request whose caller has left.
     *
     * @param stream the exchange
     */
    record ForwardCancel(long stream) implements PeerMessage {}

    /**
     * Allows the other side to send more of the answer's body.
     *
     * @param stream the exchange
     * @param bytes the number of bytes consumed since the last message
     */
    record ForwardCredit(long stream, long bytes) implements PeerMessage {}

    /** Shows that the connection works while forwarded requests wait for their answers. */
    record ForwardAlive() implements PeerMessage {}

    /**
     * Asks another instance for the operators' state and the endpoints that it knows.
     *
     * @param id names the request in the reply
     * @param revision the store revision of the configuration that the sender has
     * @param endpointsDigest the digest of the endpoints that the sender has
     */
    record StateRequest(long id, long revision, long endpointsDigest) implements PeerMessage {}

    /**
     * Tells the operators' state and its age.
     *
     * @param id the id of the request
     * @param ageMs how long before the reply the state was confirmed by the store, in milliseconds
     * @param revision the store revision of the configuration
     * @param configuration the configuration as written; empty if the sender has this revision
     * @param evacuations the store revision of each evacuation, by failure domain
     * @param endpoints what the endpoints have registered, by id; empty if the asker has the same
     * @param endpointsDigest the digest of the endpoints that the sender has
     * @param endpointsAgeMs how long before the reply they were read, in milliseconds
     * @param afterOutage whether endpoints that are missing may still register again
     */
    record StateReply(
            long id,
            long ageMs,
            long revision,
            String configuration,
            Map<String, Long> evacuations,
            Map<String, String> endpoints,
            long endpointsDigest,
            long endpointsAgeMs,
            boolean afterOutage)
            implements PeerMessage {}

    /**
     * Tells the relay of a region what the sender has running at its endpoints.
     *
     * @param loads the load at each endpoint in use
     */
    record LoadReport(List<EndpointLoad> loads) implements PeerMessage {}

    /**
     * Tells the instances of a region what all of them have running at its endpoints.
     *
     * @param loads the load at each endpoint in use
     */
    record LoadSum(List<EndpointLoad> loads) implements PeerMessage {}

    /**
     * Describes the requests of one or several instances at an endpoint.
     *
     * @param endpoint the endpoint
     * @param requests the number of requests
     * @param prefillMs the time to read the prompts that have no first token yet, in milliseconds
     * @param memoryTokens the engine memory that the requests occupy at their end, in tokens
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"endpoint", "requests", "prefillMs", "memoryTokens"})
    record EndpointLoad(EndpointId endpoint, int requests, double prefillMs, long memoryTokens) {}

    /**
     * Tells other regions how long new requests would wait in the sender's region.
     *
     * @param region the sender's region
     * @param startDelaysMs the wait before a request starts, by service, in milliseconds; a service
     *     that can start none is missing
     * @param loads the load of the region's endpoints in use, from all instances there
     */
    record RegionReport(RegionId region, Map<String, Long> startDelaysMs, List<EndpointLoad> loads)
            implements PeerMessage {}
}
