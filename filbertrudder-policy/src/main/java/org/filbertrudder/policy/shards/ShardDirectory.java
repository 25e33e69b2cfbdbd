package org.filbertrudder.policy.shards;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.ShardOwner;
import org.filbertrudder.policy.RendezvousHashing;

/** Stores the newest known owner record of every shard in every region. */
public final class ShardDirectory {

    private final Map<RegionId, Map<Integer, ShardOwner>> mOwners = new TreeMap<>();
    private int mDigest;

    /** Merges the records and returns those that replaced an older record or none. */
    public List<ShardOwner> merge(List<ShardOwner> owners) {
        List<ShardOwner> accepted = new ArrayList<>();
        for (ShardOwner owner : owners) {
            Map<Integer, ShardOwner> regionOwners =
                    mOwners.computeIfAbsent(owner.region(), region -> new TreeMap<>());
            ShardOwner stored = regionOwners.get(owner.shard());
            if (owner.supersedes(stored)) {
                regionOwners.put(owner.shard(), owner);
                mDigest ^= digestOf(stored) ^ digestOf(owner);
                accepted.add(owner);
            }
        }
        return accepted;
    }

    /** Returns the newest known owner of a shard. */
    public Optional<ShardOwner> owner(RegionId region, int shard) {
        return Optional.ofNullable(mOwners.getOrDefault(region, Map.of()).get(shard));
    }

    /** Returns the newest known owner of each shard of a region. */
    public Collection<ShardOwner> ownersIn(RegionId region) {
        return List.copyOf(mOwners.getOrDefault(region, Map.of()).values());
    }

    /** Returns a digest of all owner records, for comparison with other instances. */
    public int digest() {
        return mDigest;
    }

    private static int digestOf(ShardOwner owner) {
        if (owner == null) {
            return 0;
        }
        String shardKey = owner.region() + "/" + owner.shard();
        return (int) RendezvousHashing.weight(shardKey, owner.epoch() + "/" + owner.released());
    }

    /** Returns all known owners. */
    public List<ShardOwner> all() {
        return mOwners.values().stream()
                .flatMap(regionOwners -> regionOwners.values().stream())
                .toList();
    }
}
