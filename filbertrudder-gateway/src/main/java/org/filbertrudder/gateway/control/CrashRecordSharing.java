package org.filbertrudder.gateway.control;

import io.vertx.core.Context;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.ProtocolVersions;
import org.filbertrudder.peer.PeerConnection;
import org.filbertrudder.peer.PeerNetwork;
import org.filbertrudder.policy.RendezvousHashing;
import org.filbertrudder.policy.membership.Membership;
import org.filbertrudder.policy.membership.PeerAddress;
import org.filbertrudder.policy.retry.CrashRecordGossip;
import org.filbertrudder.policy.retry.SuspectRequests;

/**
 * Lets an instance that has started know which requests crash endpoints, from the other instances
 * and from the store. Runs on the control thread.
 */
final class CrashRecordSharing {

    private static final ComponentLogger LOG = ComponentLogger.of("crashes");
    private static final String WRITER_KEY = "crash-records";
    private static final long EXPIRY_INTERVAL_MS = 5_000;

    private final SuspectRequests mRequests;
    private final Membership mMembership;
    private final PeerNetwork mNetwork;
    private final CrashRecordGossip mGossip;
    private final CrashRecordStore mStore;
    private long mNextExpiryMs = Long.MIN_VALUE;
    private boolean mLogged;

    CrashRecordSharing(
            Context context,
            StateSource source,
            SuspectRequests requests,
            Membership membership,
            PeerNetwork network) {
        mRequests = requests;
        mMembership = membership;
        mNetwork = network;
        mGossip = new CrashRecordGossip(membership.self().id(), requests);
        mStore = new CrashRecordStore(context, source, requests);
    }

    /** Returns whether requests may be sent: the store has been read, and others were asked. */
    boolean isInformed() {
        return mStore.isRead() && mGossip.isInformed();
    }

    void tick(long nowMs) {
        if (mGossip.isDue(nowMs)) {
            Map<InstanceId, Member> others = others();
            mGossip.tick(others.keySet(), nowMs)
                    .ifPresent(send -> send(others.get(send.to()), send.message()));
        }
        mStore.tick(this::isWriter, nowMs);
        if (nowMs >= mNextExpiryMs) {
            mNextExpiryMs = nowMs + EXPIRY_INTERVAL_MS;
            mRequests.expire(nowMs);
        }
        if (isInformed() && !mLogged) {
            mLogged = true;
            LOG.info(
                    "The records of crashes have been collected.",
                    LogField.of("requests", mRequests.size()));
        }
    }

    /** Returns the other instances that are not known to be dead, by id. */
    private Map<InstanceId, Member> others() {
        return mMembership.members().stream()
                .filter(member -> member.state() != MemberState.DEAD)
                .filter(member -> !member.id().equals(mMembership.self().id()))
                .collect(Collectors.toMap(Member::id, Function.identity()));
    }

    private boolean isWriter() {
        return RendezvousHashing.first(
                        WRITER_KEY,
                        mMembership.members().stream().filter(Member::canHoldDuties).toList(),
                        member -> member.id().value())
                .map(member -> member.id().equals(mMembership.self().id()))
                .orElse(false);
    }

    /** Sends a message, unless the other instance is of a release that does not know it. */
    private void send(Member to, PeerMessage message) {
        mNetwork.withConnection(
                PeerAddress.of(to),
                connection -> {
                    if (connection != null
                            && connection.peerVersion() >= ProtocolVersions.CRASH_RECORDS) {
                        connection.send(message);
                    }
                });
    }

    /** Handles a message of another instance and answers it on the same connection. */
    void handle(PeerConnection connection, PeerMessage.CrashRecords message) {
        Optional<PeerMessage.CrashRecords> answer =
                mGossip.handle(connection.peerMember().id(), message, Clocks.steadyMs());
        answer.ifPresent(connection::send);
    }
}
