package org.filbertrudder.gateway.traffic;

import java.util.Collection;
import java.util.List;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.policy.routing.RegionGraph;

/** Describes regions of which only the names are known. */
final class DeploymentRegions implements RegionGraph {

    /** One-way delay between regions, in milliseconds, as the deployment sheets state it. */
    private static final double DELAY_MS = 80;

    /** The extra wait for which a prompt goes to another region; links are narrow and priced. */
    private static final long AWAY_COST_MS = 150;

    private final List<RegionId> mRegions;

    DeploymentRegions(Collection<RegionId> regions) {
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
        return from.equals(to) ? 0 : DELAY_MS;
    }

    @Override
    public long awayCostMs() {
        return AWAY_COST_MS;
    }
}
