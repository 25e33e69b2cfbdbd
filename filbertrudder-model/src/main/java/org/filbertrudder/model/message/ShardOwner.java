package org.filbertrudder.model.message;

import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;

/**
 * Records which instance grants tokens for a shard of the client accounts in a region.
 *
 * @param region the region
 * @param shard the index of the shard, from 0
 * @param owner the instance that owns the shard
 * @param incarnation the incarnation of the owner when it acquired the shard
 * @param epoch the fencing token; increases with each change of owner
 * @param released whether the owner has released the shard
 */
public record ShardOwner(
        RegionId region,
        int shard,
        InstanceId owner,
        long incarnation,
        long epoch,
        boolean released) {

    /**
     * Returns whether this record replaces another one of the same shard: the higher epoch wins,
     * then the released state. Any record replaces null.
     */
    public boolean supersedes(ShardOwner other) {
        return other == null
                || epoch > other.epoch
                || (epoch == other.epoch && released && !other.released);
    }
}
