package org.filbertrudder.policy.shards;

import org.filbertrudder.model.message.ShardOwner;

/** Tells whether it is certain that the owner of a shard can no longer grant tokens. */
@FunctionalInterface
public interface TakeoverEvidence {

    /**
     * Returns whether the owner's process has certainly ended.
     *
     * <p>A missed heartbeat is not sufficient: the process may be paused or partitioned.
     */
    boolean hasTerminated(ShardOwner owner);
}
