package org.filbertrudder.gateway.traffic;

import java.util.Collection;
import java.util.List;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.policy.routing.RegionGraph;

/** Describes regions for which only the names are configured; all pairs have the same delay. */
final class UniformRegionGraph implements RegionGraph {

    /** The one-way delay between regions according to the deployment documents, in milliseconds. */
    private static final double ONE_WAY_DELAY_MS = 80;

    /**
     * How much longer the local wait must be for another region to be preferred, in milliseconds:
     * links between regions have little bandwidth and their traffic is charged.
     */
    private static final long FORWARDING_COST_MS = 150;

    private final List<RegionId> mRegions;

    UniformRegionGraph(Collection<RegionId> regions) {
        mRegions = regions.stream().distinct().sorted().toList();
    }

    @Override
    public Collection<RegionId> regionIds() {
        return mRegions;
    }

    @Override
    public List<RegionId> nearestTo(RegionId here) {
        return mRegions.stream().filter(region -> !region.equals(here)).toList();
    }

    @Override
    public double delayMs(RegionId from, RegionId to) {
        return from.equals(to) ? 0 : ONE_WAY_DELAY_MS;
    }

    @Override
    public long forwardingCostMs() {
        return FORWARDING_COST_MS;
    }
}
