package org.filbertrudder.gateway.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.filbertrudder.gateway.config.GatewayConfiguration;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;

/**
 * Holds an immutable copy of the control state for the traffic thread.
 *
 * @param configuration the operators' configuration; null until the first one has been read
 * @param endpoints the registered endpoints
 * @param self this instance
 * @param members this instance, the other members and the registered instances that are not members
 *     yet
 * @param acceptingByRegion the instances that accept work, by region
 * @param runningCount the number of instances that are not known to be dead
 */
public record GatewaySnapshot(
        GatewayConfiguration configuration,
        List<EndpointAvailability> endpoints,
        Member self,
        List<Member> members,
        Map<RegionId, List<Member>> acceptingByRegion,
        int runningCount) {

    /** Creates a snapshot and derives the per-region lists and the count from the members. */
    public GatewaySnapshot(
            GatewayConfiguration configuration,
            List<EndpointAvailability> endpoints,
            Member self,
            List<Member> members) {
        this(
                configuration,
                List.copyOf(endpoints),
                self,
                List.copyOf(members),
                members.stream()
                        .filter(Member::acceptsNewRequests)
                        .collect(
                                Collectors.groupingBy(
                                        Member::region, Collectors.toUnmodifiableList())),
                (int)
                        members.stream()
                                .filter(member -> member.state() != MemberState.DEAD)
                                .count());
    }

    /** Returns whether this instance is shutting down. */
    public boolean isLeaving() {
        return self.state() == MemberState.LEAVING;
    }

    /** Returns a registered endpoint. */
    public Optional<EndpointAvailability> endpoint(EndpointId id) {
        return endpoints.stream()
                .filter(availability -> availability.endpoint().id().equals(id))
                .findFirst();
    }

    /** Returns the instances of a region that accept work. */
    public List<Member> membersAcceptingWorkIn(RegionId region) {
        return acceptingByRegion.getOrDefault(region, List.of());
    }
}
