package org.filbertrudder.gateway.control;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.filbertrudder.gateway.config.GatewayConfiguration;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;

/**
 * Holds what the traffic threads need of the control state.
 *
 * @param configuration the operators' configuration; null until one is known
 * @param endpoints the registered endpoints
 * @param self this instance
 * @param members all known instances with this one
 * @param working the instances that may be given work, by region
 * @param runningCount the number of instances that may be running
 */
public record GatewaySnapshot(
        GatewayConfiguration configuration,
        List<EndpointView> endpoints,
        Member self,
        List<Member> members,
        Map<RegionId, List<Member>> working,
        int runningCount) {

    /** Creates a snapshot; what requests ask of the members is worked out once. */
    public GatewaySnapshot(
            GatewayConfiguration configuration,
            List<EndpointView> endpoints,
            Member self,
            List<Member> members) {
        this(
                configuration,
                List.copyOf(endpoints),
                self,
                List.copyOf(members),
                members.stream()
                        .filter(Member::takesWork)
                        .collect(
                                Collectors.groupingBy(
                                        Member::region, Collectors.toUnmodifiableList())),
                (int)
                        members.stream()
                                .filter(member -> member.state() != MemberState.DEAD)
                                .count());
    }

    /** Returns whether the instance is stopping. */
    public boolean leaving() {
        return self.state() == MemberState.LEAVING;
    }

    /** Returns the instances of a region that may be given work. */
    public List<Member> workingIn(RegionId region) {
        return working.getOrDefault(region, List.of());
    }
}
