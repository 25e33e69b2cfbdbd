package org.filbertrudder.model.message;

import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;

/**
 * Describes one entry instance as a member of the fleet.
 *
 * @param id the instance's id
 * @param incarnation grows with each start of the process and each refuted suspicion
 * @param region where the instance runs
 * @param failureDomain where the instance runs
 * @param host the IP number of the instance
 * @param peerPort the TCP port for control messages of other instances
 * @param forwardPort the TCP port for requests that other instances forward
 * @param callerPort the TCP port for callers
 * @param state the state at this incarnation
 * @param strength the processor share of the instance, in hundredths of a core
 */
public record Member(
        InstanceId id,
        long incarnation,
        RegionId region,
        FailureDomainId failureDomain,
        String host,
        int peerPort,
        int forwardPort,
        int callerPort,
        MemberState state,
        int strength) {

    /** The strength of an instance that does not tell its own. */
    public static final int STANDARD_STRENGTH = 100;

    /** Treats a strength that makes no sense as the standard one. */
    public Member {
        strength = strength <= 0 ? STANDARD_STRENGTH : strength;
    }

    /** Describes an instance of standard strength. */
    public Member(
            InstanceId id,
            long incarnation,
            RegionId region,
            FailureDomainId failureDomain,
            String host,
            int peerPort,
            int forwardPort,
            int callerPort,
            MemberState state) {
        this(
                id,
                incarnation,
                region,
                failureDomain,
                host,
                peerPort,
                forwardPort,
                callerPort,
                state,
                STANDARD_STRENGTH);
    }

    /** Returns this member in another state at the same incarnation. */
    public Member in(MemberState newState) {
        return of(incarnation, newState);
    }

    /** Returns this member at another incarnation and state. */
    public Member of(long newIncarnation, MemberState newState) {
        return new Member(
                id,
                newIncarnation,
                region,
                failureDomain,
                host,
                peerPort,
                forwardPort,
                callerPort,
                newState,
                strength);
    }

    /** Returns whether this description is newer than the other one of the same instance. */
    public boolean supersedes(Member other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return state.compareTo(other.state) > 0;
    }

    /** Returns whether the member may be given new work. */
    public boolean takesWork() {
        return state == MemberState.LIVE;
    }
}
