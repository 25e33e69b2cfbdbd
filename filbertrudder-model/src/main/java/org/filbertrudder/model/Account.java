package org.filbertrudder.model;

import java.util.Map;
import java.util.Set;

/**
 * Configures a client account: its token limits and the regions that may serve it.
 *
 * @param id the account's id
 * @param contract the token rate limit, summed over all instances
 * @param residency the only regions that may serve the account; empty means any region
 * @param shares the fraction of the contract that each region holds initially; empty splits the
 *     contract evenly over the regions that may serve the account
 */
public record Account(
        AccountId id, Contract contract, Set<RegionId> residency, Map<RegionId, Double> shares)
        implements Entity {

    /** Makes defensive copies; null collections become empty. */
    public Account {
        residency = residency == null ? Set.of() : Set.copyOf(residency);
        shares = shares == null ? Map.of() : Map.copyOf(shares);
    }

    @Override
    public EntityKey entityKey() {
        return EntityKey.of(EntityKind.ACCOUNT, id.value());
    }

    /** Returns whether the residency rule permits the region to process the account's data. */
    public boolean allows(RegionId region) {
        return residency.isEmpty() || residency.contains(region);
    }
}
