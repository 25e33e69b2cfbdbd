package org.filbertrudder.model.message;

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
import org.filbertrudder.model.ServiceId;

/** Represents a message of the peer protocol between two instances. */
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
    @JsonSubTypes.Type(value = PeerMessage.ReservationSettlement.class, name = "se"),
    @JsonSubTypes.Type(value = PeerMessage.LoanRequest.class, name = "lr"),
    @JsonSubTypes.Type(value = PeerMessage.LoanGrant.class, name = "lg"),
    @JsonSubTypes.Type(value = PeerMessage.CrashReport.class, name = "cx"),
    @JsonSubTypes.Type(value = PeerMessage.CrashRecords.class, name = "cs"),
    @JsonSubTypes.Type(value = PeerMessage.ForwardStart.class, name = "fs"),
    @JsonSubTypes.Type(value = PeerMessage.ForwardHead.class, name = "fh"),
    @JsonSubTypes.Type(value = PeerMessage.ForwardData.class, name = "fd"),
    @JsonSubTypes.Type(value = PeerMessage.ForwardEnd.class, name = "fe"),
    @JsonSubTypes.Type(value = PeerMessage.ForwardCancel.class, name = "fc"),
    @JsonSubTypes.Type(value = PeerMessage.ForwardCredit.class, name = "fw"),
    @JsonSubTypes.Type(value = PeerMessage.ForwardKeepAlive.class, name = "fa"),
    @JsonSubTypes.Type(value = PeerMessage.ForwardsEnd.class, name = "fx"),
    @JsonSubTypes.Type(value = PeerMessage.ForwardResume.class, name = "fr"),
    @JsonSubTypes.Type(value = PeerMessage.ForwardUnknown.class, name = "fu"),
    @JsonSubTypes.Type(value = PeerMessage.OperatorStateRequest.class, name = "tr"),
    @JsonSubTypes.Type(value = PeerMessage.OperatorStateReply.class, name = "ts"),
    @JsonSubTypes.Type(value = PeerMessage.InstanceLoadReport.class, name = "lo"),
    @JsonSubTypes.Type(value = PeerMessage.RegionLoadSum.class, name = "ls"),
    @JsonSubTypes.Type(value = PeerMessage.RegionReport.class, name = "rg"),
    @JsonSubTypes.Type(value = PeerMessage.SendPermitRequest.class, name = "pq"),
    @JsonSubTypes.Type(value = PeerMessage.SendPermitReply.class, name = "pr"),
    @JsonSubTypes.Type(value = PeerMessage.PartEvidenceReport.class, name = "pe"),
    @JsonSubTypes.Type(value = PeerMessage.PartEvidenceDigest.class, name = "pd"),
    @JsonSubTypes.Type(value = PeerMessage.SuspectedRestarts.class, name = "sr"),
    @JsonSubTypes.Type(value = PeerMessage.StartRequests.class, name = "sq"),
    @JsonSubTypes.Type(value = PeerMessage.StartDecisions.class, name = "sd"),
    @JsonSubTypes.Type(value = PeerMessage.StartReport.class, name = "st"),
    @JsonSubTypes.Type(value = PeerMessage.RegionRoom.class, name = "rm")
})
public sealed interface PeerMessage {

    /** Returns whether the receiver answers the message at once. */
    default boolean expectsAnswer() {
        return false;
    }

    /**
     * Identifies the sender as the first message on a connection.
     *
     * @param version the newest protocol version that the sender supports
     * @param sender the member that opened the connection
     * @param life a number that identifies the sender's process; 0 if it resumes no forwards
     */
    record Hello(int version, Member sender, long life) implements PeerMessage {

        /** Creates the message of a sender that resumes no forwards. */
        public Hello(int version, Member sender) {
            this(version, sender, 0);
        }
    }

    /**
     * Shows that the sender is alive, and detects diverging configurations and member tables.
     *
     * @param sender the sender's own description
     * @param revision the configuration revision in force at the sender
     * @param members the digest of the sender's member table
     */
    record Heartbeat(Member sender, long revision, int members) implements PeerMessage {

        @Override
        public boolean expectsAnswer() {
            return true;
        }
    }

    /**
     * Acknowledges a heartbeat.
     *
     * @param sender the sender's own description
     * @param revision the configuration revision in force at the sender
     * @param members the digest of the sender's member table
     */
    record HeartbeatAck(Member sender, long revision, int members) implements PeerMessage {}

    /**
     * Disseminates changed descriptions of members.
     *
     * @param members the latest known descriptions
     */
    record MemberUpdates(List<Member> members) implements PeerMessage {}

    /** Requests the whole member table and all shard owners. */
    record MembersRequest() implements PeerMessage {}

    /**
     * Disseminates accepted configuration changes.
     *
     * @param changes consecutive changes, oldest first
     */
    record ChangePush(List<Change> changes) implements PeerMessage {}

    /**
     * Requests the configuration changes after a revision.
     *
     * @param afterRevision the revision in force at the sender
     */
    record ChangesRequest(long afterRevision) implements PeerMessage {}

    /**
     * Transfers a whole configuration to a member that lags too far behind for single changes.
     *
     * @param revision the revision of the configuration
     * @param digest the digest of the history up to the revision
     * @param entities all entities
     */
    record SnapshotPush(long revision, String digest, List<Entity> entities)
            implements PeerMessage {}

    /**
     * Disseminates changes of shard owners.
     *
     * @param owners the latest known owners
     */
    record ShardUpdates(List<ShardOwner> owners) implements PeerMessage {}

    /**
     * Transfers the token buckets of a released shard to its next owner.
     *
     * @param region the region
     * @param shard the index of the shard
     * @param epoch the fencing token of the owner that released the shard
     * @param shares the token buckets of the shard's accounts
     */
    record ShardHandover(RegionId region, int shard, long epoch, List<AccountShareSnapshot> shares)
            implements PeerMessage {}

    /**
     * Requests a reservation of tokens from the holder of an account's share.
     *
     * @param id correlates the reply
     * @param account the client account
     * @param tokens the number of tokens
     * @param deadlineMs the time during which the sender can use the reply, in milliseconds from
     *     now
     */
    record ReserveRequest(long id, AccountId account, long tokens, long deadlineMs)
            implements PeerMessage {}

    /**
     * Answers a token reservation request.
     *
     * @param id the id of the request
     * @param outcome whether the tokens are reserved, or why not
     * @param reservation the id of the reservation at the holder
     * @param retryAfterMs the delay before a retry, in milliseconds, if the tokens are not reserved
     * @param waitedMs the time that the request waited at the holder, in milliseconds
     */
    record ReserveReply(
            long id, ReserveOutcome outcome, long reservation, long retryAfterMs, long waitedMs)
            implements PeerMessage {}

    /**
     * Completes a reservation and returns its unused tokens.
     *
     * @param account the client account
     * @param reservation the id of the reservation at the holder
     * @param unusedTokens the reserved tokens that were not consumed
     */
    record ReservationSettlement(AccountId account, long reservation, long unusedTokens)
            implements PeerMessage {}

    /**
     * Requests to borrow part of the share of the holder in another region.
     *
     * @param id correlates the reply
     * @param account the client account
     * @param ratePerSecond the rate that the sender lacks, in tokens per second
     * @param tokens the tokens that the sender lacks now
     */
    record LoanRequest(long id, AccountId account, double ratePerSecond, double tokens)
            implements PeerMessage {}

    /**
     * Lends part of a share for a limited time.
     *
     * @param id the id of the request
     * @param account the client account
     * @param ratePerSecond the rate lent, in tokens per second
     * @param tokens the tokens and the burst capacity lent, in tokens
     * @param termMs the duration of the loan, in milliseconds from when its request was sent
     */
    record LoanGrant(long id, AccountId account, double ratePerSecond, double tokens, long termMs)
            implements PeerMessage {}

    /**
     * Reports that an endpoint crashed while it executed a request.
     *
     * @param account the client account of the request
     * @param bodySha256 the SHA-256 digest of the request body, in hexadecimal
     * @param endpoint the endpoint that crashed
     * @param atMs the time when the crash was detected, in milliseconds since the epoch
     * @param alone whether the endpoint executed no other request at the time
     */
    record CrashReport(
            AccountId account, String bodySha256, EndpointId endpoint, long atMs, boolean alone)
            implements PeerMessage {}

    /**
     * Compares and exchanges records of requests that ran when endpoints crashed.
     *
     * @param step how the receiver answers
     * @param informed whether the sender has heard from informed instances since its start
     * @param digest the digest of all records of the sender
     * @param records records that the receiver may lack
     */
    record CrashRecords(ExchangeStep step, boolean informed, long digest, List<CrashRecord> records)
            implements PeerMessage {

        /** Replaces a missing list by an empty one. */
        public CrashRecords {
            records = records == null ? List.of() : records;
        }
    }

    /**
     * Forwards a request to an instance in another region; the receiver must not forward it
     * further.
     *
     * @param stream the id of the exchange on this connection
     * @param requestId the request's id
     * @param account the client account
     * @param key the id of the API key that the caller presented
     * @param revision the configuration revision in force at the sender
     * @param origin the region that forwards the request
     * @param method the HTTP method
     * @param uri the path and query
     * @param headers the headers to pass to an endpoint, as the caller sent them
     * @param body the request body
     * @param deadlineMs the remaining time of the request, in milliseconds
     * @param service the service that the sender has chosen; null if the receiver chooses it
     * @param resumeAfter the id of the last event that the caller has received of this response;
     *     null if the response starts here
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
            long deadlineMs,
            ServiceId service,
            Long resumeAfter)
            implements PeerMessage {}

    /**
     * Transfers the status and headers of the response to a forwarded request.
     *
     * @param stream the id of the exchange
     * @param status the HTTP status
     * @param headers the response headers, as the endpoint sent them
     * @param refusal null for the response of an endpoint
     */
    record ForwardHead(
            long stream, int status, Map<String, String> headers, ForwardRecords.Refusal refusal)
            implements PeerMessage {}

    /**
     * Transfers a part of the response body.
     *
     * @param stream the id of the exchange
     * @param data the bytes of this part
     */
    record ForwardData(long stream, byte[] data) implements PeerMessage {}

    /**
     * Ends the response.
     *
     * @param stream the id of the exchange
     * @param complete whether the response is complete
     */
    record ForwardEnd(long stream, boolean complete) implements PeerMessage {}

    /**
     * Cancels a forwarded request whose caller has disconnected.
     *
     * @param stream the id of the exchange
     */
    record ForwardCancel(long stream) implements PeerMessage {}

    /**
     * Grants flow-control credit for the response body.
     *
     * @param stream the id of the exchange
     * @param bytes the number of bytes consumed since the last credit
     */
    record ForwardCredit(long stream, long bytes) implements PeerMessage {}

    /**
     * Shows that the connection is alive. A receiver of forwarded requests answers it with the same
     * message.
     */
    record ForwardKeepAlive() implements PeerMessage {}

    /**
     * Ends the responses on this connection: forwarded requests without a response so far have not
     * run and will not run.
     */
    record ForwardsEnd() implements PeerMessage {}

    /**
     * States, as the first message on a connection, which forwarded requests the sender waits for;
     * all others that its process has forwarded are cancelled.
     *
     * @param generation a number that increases with each connection of the sender's process
     * @param known whether the receiver's process has answered to the sender's process before
     * @param streams the requests that were forwarded on earlier connections
     */
    record ForwardResume(long generation, boolean known, List<ForwardRecords.Open> streams)
            implements PeerMessage {

        /** Reads a missing list as an empty one. */
        public ForwardResume {
            streams = streams == null ? List.of() : streams;
        }
    }

    /**
     * States that the receiver has no response for a forwarded request.
     *
     * @param stream the id of the exchange
     * @param mayHaveRun whether the request may have run; otherwise it has not and will not run
     */
    record ForwardUnknown(long stream, boolean mayHaveRun) implements PeerMessage {}

    /**
     * Requests the operators' state and the registered endpoints from another instance.
     *
     * @param id correlates the reply
     * @param revision the store revision of the sender's configuration
     * @param endpointsDigest the digest of the endpoints that the sender has
     * @param version the version of the sender's configuration; 0 if it has none
     */
    record OperatorStateRequest(long id, long revision, long endpointsDigest, long version)
            implements PeerMessage {

        @Override
        public boolean expectsAnswer() {
            return true;
        }
    }

    /**
     * Transfers the operators' state and its age.
     *
     * @param id the id of the request
     * @param ageMs the age of the last confirmation by the store, in milliseconds; negative if it
     *     is not recent
     * @param revision the store revision of the configuration
     * @param configuration the configuration as stored; empty if the requester already has this
     *     version
     * @param evacuations the era in which the store last had each evacuation, by failure domain
     * @param endpoints the registration of each endpoint, by id; empty if the requester has the
     *     same
     * @param endpointsDigest the digest of the endpoints that the sender has
     * @param endpointsAgeMs the age of the endpoint registrations, in milliseconds
     * @param afterOutage whether, after an outage, missing endpoints may yet register again
     * @param version the version of the configuration; 0 if there is none
     * @param era the era of the store that the revision belongs to
     * @param newestEra the newest era of the store that the sender knows
     * @param newestEraAgeMs how long the sender has known that era, in milliseconds; negative if
     *     the era may have begun before the sender started
     * @param endpointsEra the era of the store in which the endpoints were read
     */
    record OperatorStateReply(
            long id,
            long ageMs,
            long revision,
            String configuration,
            Map<String, Long> evacuations,
            Map<String, String> endpoints,
            long endpointsDigest,
            long endpointsAgeMs,
            boolean afterOutage,
            long version,
            long era,
            long newestEra,
            long newestEraAgeMs,
            long endpointsEra)
            implements PeerMessage {}

    /**
     * Reports the sender's own load on the region's endpoints to the relay of the region.
     *
     * @param loads the load at each endpoint in use
     * @param limits the request limits of the region's endpoints that the sender knows
     */
    record InstanceLoadReport(List<EndpointLoad> loads, List<EndpointLimitReport> limits)
            implements PeerMessage {

        /** Replaces a missing list of an older sender by an empty one. */
        public InstanceLoadReport {
            limits = limits == null ? List.of() : limits;
        }
    }

    /**
     * Distributes the total load of all instances of a region on the region's endpoints.
     *
     * @param loads the load at each endpoint in use
     * @param limits the request limits of the region's endpoints that the sender knows
     */
    record RegionLoadSum(List<EndpointLoad> loads, List<EndpointLimitReport> limits)
            implements PeerMessage {

        /** Replaces a missing list of an older sender by an empty one. */
        public RegionLoadSum {
            limits = limits == null ? List.of() : limits;
        }
    }

    /**
     * Requests permits to send requests to an endpoint with a limit from the instance that
     * schedules them.
     *
     * @param id correlates the reply
     * @param limit the limit as the sender knows it
     * @param wanted the number of requests that the sender wants to send
     */
    record SendPermitRequest(long id, EndpointLimitReport limit, int wanted)
            implements PeerMessage {}

    /**
     * Grants permits, or tells when to request them again.
     *
     * @param id the id of the request
     * @param limit the limit as the sender knows it
     * @param count the number of requests permitted; 0 if none
     * @param waitMs the time until the permits are valid or a new request may succeed, in
     *     milliseconds
     */
    record SendPermitReply(long id, EndpointLimitReport limit, int count, long waitMs)
            implements PeerMessage {}

    /**
     * Distributes evidence about parts of prompts that may crash endpoints.
     *
     * @param evidence the evidence that has changed, or all of the sender's
     * @param answer whether the receiver answers with all evidence of its own
     */
    record PartEvidenceReport(List<PartEvidence> evidence, boolean answer) implements PeerMessage {

        /** Replaces a missing list by an empty one. */
        public PartEvidenceReport {
            evidence = evidence == null ? List.of() : evidence;
        }
    }

    /**
     * Detects evidence about parts of prompts that differs between two instances.
     *
     * @param digest the digest of all evidence of the sender
     */
    record PartEvidenceDigest(long digest) implements PeerMessage {}

    /**
     * Tells an instance that has started which endpoints may have restarted.
     *
     * @param restarts the endpoints of the sender's region that may have restarted
     */
    record SuspectedRestarts(List<SuspectedRestart> restarts) implements PeerMessage {

        /** Replaces a missing list by an empty one. */
        public SuspectedRestarts {
            restarts = restarts == null ? List.of() : restarts;
        }
    }

    /**
     * Reports to other regions the load and the expected start delays of the sender's region.
     *
     * @param region the sender's region
     * @param startDelaysMs the expected delay before a request starts, by service, in milliseconds;
     *     services that cannot start requests are omitted
     * @param loads the load of all instances of the region on its endpoints in use
     * @param limits the request limits of the region's endpoints that the sender knows
     */
    record RegionReport(
            RegionId region,
            Map<String, Long> startDelaysMs,
            List<EndpointLoad> loads,
            List<EndpointLimitReport> limits)
            implements PeerMessage {

        /** Replaces a missing list of an older sender by an empty one. */
        public RegionReport {
            limits = limits == null ? List.of() : limits;
        }
    }

    /**
     * Asks the scheduler of a service for the starts of requests.
     *
     * @param service the service
     * @param requests the requests that wait for their start
     */
    record StartRequests(ServiceId service, List<StartRecords.Request> requests)
            implements PeerMessage {}

    /**
     * Tells an instance what its scheduler has decided; an empty message shows that it is alive.
     *
     * @param service the service
     * @param decisions the decisions on requests of the receiver
     */
    record StartDecisions(ServiceId service, List<StartRecords.Decision> decisions)
            implements PeerMessage {}

    /**
     * Reports to the scheduler of a service what has become of requests, and the load of endpoints.
     *
     * @param service the service
     * @param full whether the open requests are exactly the listed ones
     * @param open the requests that have been sent to an endpoint and have not ended, if full
     * @param begun the requests whose first event has arrived
     * @param ended the requests that have ended
     * @param rejected the requests that an endpoint has not executed
     * @param cancelled the requests that no longer wait or whose start was not used
     * @param statements what endpoints have stated
     * @param streams the sender's streams by endpoint
     */
    record StartReport(
            ServiceId service,
            boolean full,
            List<StartRecords.Open> open,
            List<Long> begun,
            List<StartRecords.Ended> ended,
            List<Long> rejected,
            List<Long> cancelled,
            List<StartRecords.Statement> statements,
            List<StartRecords.Streams> streams)
            implements PeerMessage {

        /** Replaces missing lists by empty ones. */
        public StartReport {
            open = open == null ? List.of() : open;
            begun = begun == null ? List.of() : begun;
            ended = ended == null ? List.of() : ended;
            rejected = rejected == null ? List.of() : rejected;
            cancelled = cancelled == null ? List.of() : cancelled;
            statements = statements == null ? List.of() : statements;
            streams = streams == null ? List.of() : streams;
        }
    }

    /**
     * Offers capacity of the sender's region to another region.
     *
     * @param region the sender's region
     * @param service the service
     * @param tokensPerSecond the prompt tokens per second that the region can take
     * @param startsPerSecond the starts per second that the region can take
     * @param waitMs how long the region's own requests wait, in milliseconds
     */
    record RegionRoom(
            RegionId region,
            ServiceId service,
            double tokensPerSecond,
            double startsPerSecond,
            double waitMs)
            implements PeerMessage {}
}
