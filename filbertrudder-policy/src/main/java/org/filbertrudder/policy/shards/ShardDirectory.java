package org.filbertrudder.policy.shards;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.ShardOwner;

/** Knows the newest owner of every shard in every region. */
public final class ShardDirectory {

    private final Map<RegionId, Map<Integer, ShardOwner>> mOwners = new TreeMap<>();

    /** Returns those of the records that were news. */
    public List<ShardOwner> learn(List<ShardOwner> owners) {
        List<ShardOwner> news = new ArrayList<>();
        for (ShardOwner owner : owners) {
            Map<Integer, ShardOwner> ofRegion =
                    mOwners.computeIfAbsent(owner.region(), region -> new TreeMap<>());
            if (owner.supersedes(ofRegion.get(owner.shard()))) {
                ofRegion.put(owner.shard(), owner);
                news.add(owner);
            }
        }
        return news;
    }

    /** Returns the newest known owner of a shard. */
    public Optional<ShardOwner> owner(RegionId region, int shard) {
        return Optional.ofNullable(mOwners.getOrDefault(region, Map.of()).get(shard));
    }

    /** Returns all known owners. */
    public List<ShardOwner> all() {
        return mOwners.values().stream().flatMap(each -> each.values().stream()).toList();
    }
}
