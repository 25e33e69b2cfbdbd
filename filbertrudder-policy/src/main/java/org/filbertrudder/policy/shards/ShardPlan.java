package org.filbertrudder.policy.shards;

import java.util.List;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.ShardOwner;

/**
 * Claims and releases of shards that an instance should perform in its region.
 *
 * @param claims the owner records to write into the store, each with the record that it replaces
 * @param releases the shards to hand over
 */
public record ShardPlan(List<Claim> claims, List<Release> releases) {

    /**
     * Claim of a shard that has no owner, or whose owner released it or has ended.
     *
     * @param wanted the new owner record
     * @param previous the owner record to replace, or null if there is none
     */
    public record Claim(ShardOwner wanted, ShardOwner previous) {}

    /**
     * Handover of a shard to another instance of the region.
     *
     * @param held the owner record of this instance
     * @param successor the instance that takes over the shard
     */
    public record Release(ShardOwner held, InstanceId successor) {}
}
