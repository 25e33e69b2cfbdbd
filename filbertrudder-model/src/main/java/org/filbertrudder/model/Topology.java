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
 * Indexes the regions and links of a configuration; shared by revisions that do not change them.
 */
final class Topology {

    private final Map<RegionId, Region> mRegions = new LinkedHashMap<>();
    private final Map<Ends, Link> mLinks = new LinkedHashMap<>();
    private final Map<RegionId, List<RegionId>> mNearest = new ConcurrentHashMap<>();

    Topology(Collection<Region> regions, Collection<Link> links) {
        regions.forEach(region -> mRegions.put(region.id(), region));
        links.forEach(link -> mLinks.put(Ends.of(link.from(), link.to()), link));
    }

    Optional<Region> region(RegionId id) {
        return Optional.ofNullable(mRegions.get(id));
    }

    Set<RegionId> regionIds() {
        return mRegions.keySet();
    }

    Optional<Link> link(RegionId first, RegionId second) {
        return Optional.ofNullable(mLinks.get(Ends.of(first, second)));
    }

    List<RegionId> nearest(RegionId here) {
        return mNearest.computeIfAbsent(here, this::sortByDelay);
    }

    private List<RegionId> sortByDelay(RegionId here) {
        Comparator<RegionId> byDelay =
                Comparator.comparingDouble(
                        region -> link(here, region).map(Link::delayMs).orElse(Double.MAX_VALUE));
        return mRegions.keySet().stream()
                .filter(region -> !region.equals(here))
                .sorted(byDelay.thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    private record Ends(RegionId first, RegionId second) {

        static Ends of(RegionId one, RegionId other) {
            return one.compareTo(other) <= 0 ? new Ends(one, other) : new Ends(other, one);
        }
    }
}
