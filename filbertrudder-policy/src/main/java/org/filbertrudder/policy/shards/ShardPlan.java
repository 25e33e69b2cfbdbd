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
     * @param newOwner the new owner record
     * @param previousOwner the owner record to replace, or null if there is none
     */
    public record Claim(ShardOwner newOwner, ShardOwner previousOwner) {}

    /**
     * Handover of a shard to another instance of the region.
     *
     * @param currentOwner the owner record of this instance
     * @param successor the instance that takes over the shard
     */
    public record Release(ShardOwner currentOwner, InstanceId successor) {}
}
