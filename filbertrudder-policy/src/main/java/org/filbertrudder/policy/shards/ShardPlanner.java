package org.filbertrudder.policy.shards;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.ShardOwner;
import org.filbertrudder.policy.RendezvousHashing;

/** Assigns each shard of a region to the live instance with the highest rendezvous weight. */
public final class ShardPlanner {

    private final int mShardCount;

    /** Creates a planner for the given number of shards in each region. */
    public ShardPlanner(int shardCount) {
        mShardCount = shardCount;
    }

    /**
     * Returns the shards that this instance claims and those that it hands over.
     *
     * @param self this instance
     * @param held the shards that this instance holds
     * @param eligible the live instances of the region that have been members long enough to be
     *     given shards; a shard is handed over only to one of these
     * @param directory the known owners of all shards
     * @param evidence tells whether the process of a previous owner has ended
     */
    public ShardPlan plan(
            Member self,
            Set<Integer> held,
            List<Member> eligible,
            ShardDirectory directory,
            TakeoverEvidence evidence) {
        List<ShardPlan.Claim> claims = new ArrayList<>();
        List<ShardPlan.Release> releases = new ArrayList<>();
        for (int shard = 0; shard < mShardCount; shard++) {
            Optional<ShardOwner> owner = directory.owner(self.region(), shard);
            Optional<Member> preferred =
                    RendezvousHashing.first(
                            self.region() + "/" + shard, eligible, member -> member.id().value());
            boolean selfIsPreferred =
                    preferred.isPresent() && preferred.get().id().equals(self.id());
            if (owner.isPresent() && held.contains(shard)) {
                if (preferred.isPresent() && !selfIsPreferred) {
                    releases.add(new ShardPlan.Release(owner.get(), preferred.get().id()));
                }
            } else if (selfIsPreferred && isClaimable(owner, evidence)) {
                claims.add(newClaim(self, shard, owner.orElse(null)));
            }
        }
        return new ShardPlan(claims, releases);
    }

    private static boolean isClaimable(Optional<ShardOwner> owner, TakeoverEvidence evidence) {
        return owner.isEmpty() || owner.get().released() || evidence.hasTerminated(owner.get());
    }

    private static ShardPlan.Claim newClaim(Member self, int shard, ShardOwner previousOwner) {
        long epoch = previousOwner == null ? 1 : previousOwner.epoch() + 1;
        ShardOwner newOwner =
                new ShardOwner(self.region(), shard, self.id(), self.incarnation(), epoch, false);
        return new ShardPlan.Claim(newOwner, previousOwner);
    }
}
