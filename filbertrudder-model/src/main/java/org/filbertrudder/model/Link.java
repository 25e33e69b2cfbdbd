package org.filbertrudder.model;

/**
 * Describes the wide-area link between two regions.
 *
 * @param from one end
 * @param to the other end
 * @param delayMs one-way delay in milliseconds
 * @param bitsPerSecond capacity each way in bits per second
 */
public record Link(RegionId from, RegionId to, double delayMs, long bitsPerSecond)
        implements Entity {

    @Override
    public EntityKey entityKey() {
        return EntityKey.of(EntityKind.LINK, from + "~" + to);
    }

    /** Returns whether this link joins the two regions, in either direction. */
    public boolean joins(RegionId first, RegionId second) {
        return (from.equals(first) && to.equals(second))
                || (from.equals(second) && to.equals(first));
    }
}
