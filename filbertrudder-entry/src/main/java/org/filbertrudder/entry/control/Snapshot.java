package org.filbertrudder.entry.control;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;

/**
 * Shows the control state to the traffic threads; immutable.
 *
 * @param configuration the configuration in force
 * @param self this instance
 * @param members all known members, in the order of their ids
 * @param leavingEndpoints the endpoints that get no new work
 */
public record Snapshot(
        Configuration configuration,
        Member self,
        List<Member> members,
        Set<EndpointId> leavingEndpoints) {

    /** Returns whether this instance is being stopped. */
    public boolean leaving() {
        return self.state() == MemberState.LEAVING;
    }

    /** Returns the members of a region that may be given work. */
    public List<Member> workingIn(RegionId region) {
        return members.stream()
                .filter(member -> member.takesWork() && member.region().equals(region))
                .toList();
    }

    /** Returns the member with the id. */
    public Optional<Member> member(InstanceId id) {
        return members.stream().filter(member -> member.id().equals(id)).findFirst();
    }
}
