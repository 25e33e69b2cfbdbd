package org.filbertrudder.model;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Indexes the regions and links of a configuration; consecutive revisions share it as long as
 * neither changes.
 */
final class Topology {

    private final Map<RegionId, Region> mRegions = new LinkedHashMap<>();
    private final Map<RegionPair, Link> mLinks = new LinkedHashMap<>();
    private final Map<RegionId, List<RegionId>> mRegionsByDelay = new ConcurrentHashMap<>();

    Topology(Collection<Region> regions, Collection<Link> links) {
        regions.forEach(region -> mRegions.put(region.id(), region));
        links.forEach(link -> mLinks.put(RegionPair.of(link.from(), link.to()), link));
    }

    Optional<Region> region(RegionId id) {
        return Optional.ofNullable(mRegions.get(id));
    }

    Set<RegionId> regionIds() {
        return mRegions.keySet();
    }

    Optional<Link> link(RegionId first, RegionId second) {
        return Optional.ofNullable(mLinks.get(RegionPair.of(first, second)));
    }

    List<RegionId> regionsByDelay(RegionId origin) {
        return mRegionsByDelay.computeIfAbsent(origin, this::sortByDelay);
    }

    private List<RegionId> sortByDelay(RegionId origin) {
        Comparator<RegionId> byDelay =
                Comparator.comparingDouble(
                        region -> link(origin, region).map(Link::delayMs).orElse(Double.MAX_VALUE));
        return mRegions.keySet().stream()
                .filter(region -> !region.equals(origin))
                .sorted(byDelay.thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    /** Identifies a link by its two regions, regardless of direction. */
    private record RegionPair(RegionId first, RegionId second) {

        static RegionPair of(RegionId one, RegionId other) {
            return one.compareTo(other) <= 0
                    ? new RegionPair(one, other)
                    : new RegionPair(other, one);
        }
    }
}
