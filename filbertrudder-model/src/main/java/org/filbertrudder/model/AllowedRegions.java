package org.filbertrudder.model;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Tells which regions may serve something: any, or only the listed ones.
 *
 * <p>A restriction without regions allows none; it is not the same as no restriction.
 */
public final class AllowedRegions {

    private static final AllowedRegions ANY = new AllowedRegions(Optional.empty());

    private final Optional<SortedSet<RegionId>> mOnly;

    private AllowedRegions(Optional<SortedSet<RegionId>> only) {
        mOnly = only;
    }

    /** Returns no restriction. */
    public static AllowedRegions any() {
        return ANY;
    }

    /** Returns a restriction to the given regions; an empty collection allows none. */
    public static AllowedRegions only(Collection<RegionId> regions) {
        return new AllowedRegions(Optional.of(new TreeSet<>(regions)));
    }

    /** Returns whether the region may serve. */
    public boolean allows(RegionId region) {
        return mOnly.map(only -> only.contains(region)).orElse(true);
    }

    /** Returns the regions that both allow. */
    public AllowedRegions and(AllowedRegions other) {
        if (isAny()) {
            return other;
        }
        return other.isAny() ? this : only(listed().stream().filter(other::allows).toList());
    }

    /** Returns whether there is no restriction. */
    public boolean isAny() {
        return mOnly.isEmpty();
    }

    /** Returns whether no region may serve. */
    public boolean allowsNone() {
        return mOnly.map(SortedSet::isEmpty).orElse(false);
    }

    /** Returns the regions of a restriction, sorted; empty if any region may serve. */
    public List<RegionId> listed() {
        return mOnly.map(List::copyOf).orElse(List.of());
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof AllowedRegions regions && mOnly.equals(regions.mOnly);
    }

    @Override
    public int hashCode() {
        return mOnly.hashCode();
    }

    @Override
    public String toString() {
        return isAny() ? "any" : listed().toString();
    }
}
