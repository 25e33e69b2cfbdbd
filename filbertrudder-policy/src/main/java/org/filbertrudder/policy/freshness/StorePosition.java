package org.filbertrudder.policy.freshness;

import java.util.Comparator;
import org.filbertrudder.model.StoreEra;

/**
 * Identifies a configuration as it was found in the store. Positions are ordered by era and
 * revision.
 *
 * @param era the era of the store in which it was found
 * @param revision its revision in that era; 0 if there was none
 * @param version its own version, which operators increase with each change
 */
public record StorePosition(StoreEra era, long revision, long version)
        implements Comparable<StorePosition> {

    /** The position before the first response. */
    public static final StorePosition NONE = new StorePosition(StoreEra.UNREPORTED, 0, 0);

    private static final Comparator<StorePosition> BY_ERA_AND_REVISION =
            Comparator.comparing(StorePosition::era).thenComparing(StorePosition::revision);

    @Override
    public int compareTo(StorePosition other) {
        return BY_ERA_AND_REVISION.compare(this, other);
    }
}
