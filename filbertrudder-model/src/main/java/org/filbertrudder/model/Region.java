package org.filbertrudder.model;

import java.util.List;

/**
 * Describes a region and its failure domains.
 *
 * @param id the region's id
 * @param failureDomains the failure domains inside the region, at least one
 */
public record Region(RegionId id, List<FailureDomainId> failureDomains) implements Entity {

    /** Copies the list of failure domains. */
    public Region {
        failureDomains = failureDomains == null ? List.of() : List.copyOf(failureDomains);
    }

    @Override
    public EntityKey entityKey() {
        return EntityKey.of(EntityKind.REGION, id.value());
    }
}
