package org.filbertrudder.model.message;

import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;

/**
 * Names the instance that grants tokens for one shard of the client accounts in one region.
 *
 * @param region the region
 * @param shard the number of the shard, from 0
 * @param owner the instance that holds the shard
 * @param incarnation the incarnation of the owner's process when it took the shard
 * @param epoch the fencing number; grows with each change of owner
 * @param released whether the owner has given the shard up
 */
public record ShardOwner(
        RegionId region,
        int shard,
        InstanceId owner,
        long incarnation,
        long epoch,
        boolean released) {

    /** Returns whether this record is newer than the other one of the same shard. */
    public boolean supersedes(ShardOwner other) {
        return other == null
                || epoch > other.epoch
                || (epoch == other.epoch && released && !other.released);
    }
}
