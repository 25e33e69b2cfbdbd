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
 * Represents the control state that is published to the traffic threads; immutable.
 *
 * @param configuration the configuration in force
 * @param self this instance
 * @param members all known members, in the order of their ids
 * @param leavingEndpoints the endpoints that are leaving and receive no new requests
 * @param shardHolders the token holder of each shard of this region, by shard number
 */
public record ControlSnapshot(
        Configuration configuration,
        Member self,
        List<Member> members,
        Set<EndpointId> leavingEndpoints,
        Map<Integer, InstanceId> shardHolders) {

    /** Returns whether this instance is shutting down. */
    public boolean isLeaving() {
        return self.state() == MemberState.LEAVING;
    }

    /** Returns the members of a region that accept work. */
    public List<Member> membersAcceptingWorkIn(RegionId region) {
        return members.stream()
                .filter(member -> member.acceptsNewRequests() && member.region().equals(region))
                .toList();
    }

    /**
     * Returns the member that grants the tokens of an account in this region, if it accepts work.
     */
    public Optional<Member> tokenHolderOf(AccountId account) {
        int shard = TokenHolder.shardOf(account, TokenSettings.DEFAULT.shards());
        return Optional.ofNullable(shardHolders.get(shard))
                .flatMap(this::member)
                .filter(Member::acceptsNewRequests);
    }

    /** Returns the member with the given id. */
    public Optional<Member> member(InstanceId id) {
        return members.stream().filter(member -> member.id().equals(id)).findFirst();
    }
}
