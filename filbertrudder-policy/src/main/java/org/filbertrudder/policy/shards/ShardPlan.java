package org.filbertrudder.policy.shards;

import java.util.List;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.ShardOwner;

/**
 * Lists what an instance should do about the shards of its region.
 *
 * @param claims the records to write into the store, each with the record that it replaces
 * @param releases the shards to hand over
 */
public record ShardPlan(List<Claim> claims, List<Release> releases) {

    /**
     * Takes a shard.
     *
     * @param wanted the new record
     * @param previous the record that it replaces, or null if there is none
     */
    public record Claim(ShardOwner wanted, ShardOwner previous) {}

    /**
     * Hands a shard to another instance of the region.
     *
     * @param held the record of this instance
     * @param successor the instance that takes the shard over
     */
    public record Release(ShardOwner held, InstanceId successor) {}
}
