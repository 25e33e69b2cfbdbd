package org.filbertrudder.gateway.control;

import java.util.HashSet;
import java.util.Set;
import org.filbertrudder.entry.control.SilentConnections;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.peer.PeerNetwork;
import org.filbertrudder.policy.membership.MemberChange;
import org.filbertrudder.policy.membership.MemberEvidence;
import org.filbertrudder.policy.membership.Membership;
import org.filbertrudder.policy.membership.PeerAddress;

/** Replaces connections to members that may be broken, and logs what becomes of the members. */
final class ControlConnections {

    private static final ComponentLogger LOG = ComponentLogger.of("control");

    private final Membership mMembership;
    private final PeerNetwork mNetwork;
    private final SilentConnections mSilent;
    private Set<InstanceId> mSuspected = Set.of();

    /** Creates an object that is called at an interval in milliseconds. */
    ControlConnections(Membership membership, PeerNetwork network, long tickMs) {
        mMembership = membership;
        mNetwork = network;
        mSilent = new SilentConnections(network, tickMs, Clocks.steadyMs());
    }

    /** Asks members again on a new connection, before they are suspected for a silent one. */
    void replaceSilent(long revision, long nowMs) {
        mSilent.replace(() -> mMembership.heartbeat(revision), nowMs);
    }

    /** Drops connections to newly suspected members, as the connection itself may be broken. */
    void dropThoseToSuspects() {
        Set<InstanceId> suspected = new HashSet<>();
        for (Member member : mMembership.members()) {
            if (member.state() == MemberState.SUSPECT) {
                suspected.add(member.id());
                if (!mSuspected.contains(member.id())) {
                    mNetwork.disconnect(PeerAddress.of(member));
                }
            }
        }
        mSuspected = suspected;
    }

    /** Logs the changes of members' states, and the evidence for them, since the last call. */
    void logChanges() {
        mMembership.takeEvidence().forEach(ControlConnections::log);
        for (MemberChange change : mMembership.takeChanges()) {
            LOG.info(
                    "The state of a member has changed.",
                    LogField.of("member", change.member()),
                    LogField.of("before", change.before()),
                    LogField.of("after", change.after()),
                    LogField.of("incarnation", change.incarnation()),
                    LogField.of("reporter", change.reporter()),
                    LogField.of("unansweredMs", change.unansweredMs()));
        }
    }

    private static void log(MemberEvidence evidence) {
        if (evidence.kind() == MemberEvidence.Kind.REPORT_HELD) {
            LOG.info(
                    "A report is held, as the member has just answered.",
                    LogField.of("member", evidence.member()),
                    LogField.of("reported", evidence.state()),
                    LogField.of("incarnation", evidence.incarnation()),
                    LogField.of("reporter", evidence.reporter()),
                    LogField.of("answeredMs", evidence.elapsedMs()));
        } else {
            LOG.info(
                    "A suspect has answered through another member.",
                    LogField.of("member", evidence.member()),
                    LogField.of("incarnation", evidence.incarnation()),
                    LogField.of("through", evidence.reporter()),
                    LogField.of("suspectedMs", evidence.elapsedMs()));
        }
    }
}
