package org.filbertrudder.policy.limits;

import java.util.List;
import java.util.Optional;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.policy.RendezvousHashing;

/**
 * Selects the instance that schedules the requests to an endpoint with a limit, and its part of the
 * limit.
 *
 * <p>Only instances of the endpoint's region send requests to it. A suspected instance remains the
 * scheduler until it is declared dead. Groups of instances that consider each other dead select a
 * scheduler each, so each group uses the part of the limit that corresponds to its size, and the
 * parts add up to the whole limit at most.
 */
public final class SchedulerSelection {

    private SchedulerSelection() {}

    /** Returns the scheduler of the endpoint; the same for all instances with the same members. */
    public static Optional<Member> scheduler(
            EndpointId endpoint, RegionId region, List<Member> members) {
        return RendezvousHashing.first(
                endpoint.value(),
                members.stream()
                        .filter(member -> member.region().equals(region))
                        .filter(Member::canHoldDuties)
                        .toList(),
                member -> member.id().value());
    }

    /** Returns the part of a limit that the scheduler of a region may use, from 0 to 1. */
    public static double part(RegionId region, List<Member> members) {
        long all = members.stream().filter(member -> member.region().equals(region)).count();
        long alive =
                members.stream()
                        .filter(member -> member.region().equals(region))
                        .filter(member -> member.state() != MemberState.DEAD)
                        .count();
        return all == 0 ? 1 : (double) alive / all;
    }
}
