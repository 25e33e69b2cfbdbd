package org.filbertrudder.gateway.control;

import java.util.List;
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
 */
public record GatewaySnapshot(
        GatewayConfiguration configuration,
        List<EndpointView> endpoints,
        Member self,
        List<Member> members) {

    /** Copies the lists. */
    public GatewaySnapshot {
        endpoints = List.copyOf(endpoints);
        members = List.copyOf(members);
    }

    /** Returns whether the instance is stopping. */
    public boolean leaving() {
        return self.state() == MemberState.LEAVING;
    }

    /** Returns the instances of a region that may be given work. */
    public List<Member> workingIn(RegionId region) {
        return members.stream()
                .filter(member -> member.takesWork() && member.region().equals(region))
                .toList();
    }

    /** Returns the number of instances that may be running. */
    public int runningCount() {
        return (int) members.stream().filter(member -> member.state() != MemberState.DEAD).count();
    }
}
