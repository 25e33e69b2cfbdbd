package org.filbertrudder.entry.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.policy.tokens.TokenHolder;
import org.filbertrudder.policy.tokens.TokenSettings;

/**
 * Shows the control state to the traffic threads; immutable.
 *
 * @param configuration the configuration in force
 * @param self this instance
 * @param members all known members, in the order of their ids
 * @param leavingEndpoints the endpoints that get no new work
 * @param shardHolders the holder of each shard of this region
 */
public record Snapshot(
        Configuration configuration,
        Member self,
        List<Member> members,
        Set<EndpointId> leavingEndpoints,
        Map<Integer, InstanceId> shardHolders) {

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

    /** Returns the member that grants the tokens of an account in this region, if it works. */
    public Optional<Member> holderOf(AccountId account) {
        int shard = TokenHolder.shardOf(account, TokenSettings.DEFAULT.shards());
        return Optional.ofNullable(shardHolders.get(shard))
                .flatMap(this::member)
                .filter(Member::takesWork);
    }

    /** Returns the member with the id. */
    public Optional<Member> member(InstanceId id) {
        return members.stream().filter(member -> member.id().equals(id)).findFirst();
    }
}
