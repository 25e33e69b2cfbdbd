package org.filbertrudder.model.message;

import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.InvalidValueException;
import org.filbertrudder.model.RegionId;

/**
 * Describes an instance as a member of the cluster.
 *
 * @param id the instance's id
 * @param incarnation a number that increases with each process start and each refuted suspicion
 * @param region the region where the instance runs
 * @param failureDomain the failure domain where the instance runs
 * @param host the IP address of the instance
 * @param peerPort the TCP port for control messages from other instances
 * @param forwardPort the TCP port for requests that other instances forward
 * @param callerPort the TCP port for requests from callers
 * @param state the state at this incarnation
 * @param strength the CPU share of the instance, in hundredths of a core
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

    /** The CPU share assumed for an instance that reports none, in hundredths of a core. */
    public static final int STANDARD_STRENGTH = 100;

    private static final int MAX_PORT = 65_535;

    /** Replaces a strength of 0 or less by the standard strength. */
    public Member {
        strength = strength <= 0 ? STANDARD_STRENGTH : strength;
    }

    /**
     * Returns this member if it has an identity and an address.
     *
     * @throws InvalidValueException if something is missing or a port is out of range
     */
    public Member requireValid() {
        boolean hasIdentity =
                id != null && region != null && failureDomain != null && state != null;
        boolean hasAddress = host != null && !host.isEmpty();
        if (!hasIdentity || !hasAddress) {
            throw new InvalidValueException(
                    "A member lacks its id, place, state or host. Check who registered it.");
        }
        if (!isPort(peerPort) || !isPort(forwardPort) || !isPort(callerPort)) {
            throw new InvalidValueException(
                    "A port of member " + id + " is out of range. Expected 0 to 65535.");
        }
        return this;
    }

    private static boolean isPort(int port) {
        return port >= 0 && port <= MAX_PORT;
    }

    /** Creates a member of standard strength. */
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

    /** Returns a copy with the given state and the same incarnation. */
    public Member withState(MemberState newState) {
        return withIncarnationAndState(incarnation, newState);
    }

    /** Returns a copy with the given incarnation and state. */
    public Member withIncarnationAndState(long newIncarnation, MemberState newState) {
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

    /**
     * Returns whether this description replaces another one of the same instance: the higher
     * incarnation wins, then the later state.
     */
    public boolean supersedes(Member other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return state.compareTo(other.state) > 0;
    }

    /** Returns whether duties may be assigned to the member, as it is not known to stop. */
    public boolean canHoldDuties() {
        return state == MemberState.LIVE || state == MemberState.SUSPECT;
    }

    /** Returns whether new requests may be sent to the member. */
    public boolean acceptsNewRequests() {
        return state == MemberState.LIVE;
    }
}
