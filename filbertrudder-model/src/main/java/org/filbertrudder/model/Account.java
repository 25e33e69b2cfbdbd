package org.filbertrudder.model;

import java.util.Map;
import java.util.Set;

/**
 * Describes a client account.
 *
 * @param id the account's id
 * @param contract tokens per second and burst over all instances together
 * @param residency the only regions that may serve the account; empty means any region
 * @param shares the fraction of the contract that each region starts with; empty means even shares
 *     over the regions that may serve the account
 */
public record Account(
        AccountId id, Contract contract, Set<RegionId> residency, Map<RegionId, Double> shares)
        implements Entity {

    /** Copies the collections. */
    public Account {
        residency = residency == null ? Set.of() : Set.copyOf(residency);
        shares = shares == null ? Map.of() : Map.copyOf(shares);
    }

    @Override
    public EntityKey entityKey() {
        return EntityKey.of(EntityKind.ACCOUNT, id.value());
    }

    /** Returns whether the account's data may be processed in the region. */
    public boolean allows(RegionId region) {
        return residency.isEmpty() || residency.contains(region);
    }
}
