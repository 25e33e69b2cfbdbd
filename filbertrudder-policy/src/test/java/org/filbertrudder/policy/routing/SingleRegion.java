package org.filbertrudder.policy.routing;

import java.util.List;
import org.filbertrudder.model.RegionId;

/** Describes a deployment with one region. */
record SingleRegion(RegionId region) implements RegionGraph {

    @Override
    public List<RegionId> regionIds() {
        return List.of(region);
    }

    @Override
    public List<RegionId> nearestTo(RegionId localRegion) {
        return List.of();
    }

    @Override
    public double delayMs(RegionId from, RegionId to) {
        return 0;
    }

    @Override
    public long forwardingCostMs() {
        return 0;
    }
}
