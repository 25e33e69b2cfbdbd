package org.filbertrudder.policy.shards;

import org.filbertrudder.model.message.ShardOwner;

/** Tells whether the previous owner of a shard can no longer grant tokens. */
@FunctionalInterface
public interface TakeoverEvidence {

    /**
     * Returns whether the owner's process is certainly gone.
     *
     * <p>A missed heartbeat is no evidence: the process may be paused or cut off.
     */
    boolean isGone(ShardOwner owner);
}
