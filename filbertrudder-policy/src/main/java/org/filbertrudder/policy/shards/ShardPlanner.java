package org.filbertrudder.policy.shards;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.ShardOwner;
import org.filbertrudder.policy.Rendezvous;

/** Assigns each shard of a region to the live instance with the highest rendezvous weight. */
public final class ShardPlanner {

    private final int mShards;

    /** Creates a planner for a number of shards in each region. */
    public ShardPlanner(int shards) {
        mShards = shards;
    }

    /**
     * Decides which shards this instance claims and which it hands over.
     *
     * @param self this instance
     * @param held the shards that this instance holds
     * @param settled the live instances of the region that have been members long enough to be
     *     given shards; a shard is handed over only to one of these
     * @param directory the known owners
     * @param evidence tells whether a previous owner is gone
     */
    public ShardPlan plan(
            Member self,
            Set<Integer> held,
            List<Member> settled,
            ShardDirectory directory,
            TakeoverEvidence evidence) {
        List<ShardPlan.Claim> claims = new ArrayList<>();
        List<ShardPlan.Release> releases = new ArrayList<>();
        for (int shard = 0; shard < mShards; shard++) {
            Optional<ShardOwner> owner = directory.owner(self.region(), shard);
            Optional<Member> best =
                    Rendezvous.first(
                            self.region() + "/" + shard, settled, member -> member.id().value());
            boolean selfIsBest = best.isPresent() && best.get().id().equals(self.id());
            if (owner.isPresent() && held.contains(shard)) {
                if (best.isPresent() && !selfIsBest) {
                    releases.add(new ShardPlan.Release(owner.get(), best.get().id()));
                }
            } else if (selfIsBest && isFree(owner, evidence)) {
                claims.add(claim(self, shard, owner.orElse(null)));
            }
        }
        return new ShardPlan(claims, releases);
    }

    private static boolean isFree(Optional<ShardOwner> owner, TakeoverEvidence evidence) {
        return owner.isEmpty() || owner.get().released() || evidence.isGone(owner.get());
    }

    private static ShardPlan.Claim claim(Member self, int shard, ShardOwner previous) {
        long epoch = previous == null ? 1 : previous.epoch() + 1;
        ShardOwner wanted =
                new ShardOwner(self.region(), shard, self.id(), self.incarnation(), epoch, false);
        return new ShardPlan.Claim(wanted, previous);
    }
}
