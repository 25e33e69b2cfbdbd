package org.filbertrudder.model;

import java.util.List;

/**
 * Configures a region and its failure domains.
 *
 * @param id the region's id
 * @param failureDomains the failure domains of the region; validation requires at least one
 */
public record Region(RegionId id, List<FailureDomainId> failureDomains) implements Entity {

    /** Makes a defensive copy; a null list becomes empty. */
    public Region {
        failureDomains = failureDomains == null ? List.of() : List.copyOf(failureDomains);
    }

    @Override
    public EntityKey entityKey() {
        return EntityKey.of(EntityKind.REGION, id.value());
    }
}
