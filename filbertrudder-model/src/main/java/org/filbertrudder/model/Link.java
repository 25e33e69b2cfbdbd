package org.filbertrudder.model;

/**
 * Configures the bidirectional wide-area link between two regions.
 *
 * @param from the region at one end
 * @param to the region at the other end
 * @param delayMs the one-way delay, in milliseconds
 * @param bitsPerSecond the capacity in each direction, in bits per second
 */
public record Link(RegionId from, RegionId to, double delayMs, long bitsPerSecond)
        implements Entity {

    @Override
    public EntityKey entityKey() {
        return EntityKey.of(EntityKind.LINK, from + "~" + to);
    }

    /** Returns whether the link connects the two regions, in either direction. */
    public boolean connects(RegionId first, RegionId second) {
        return (from.equals(first) && to.equals(second))
                || (from.equals(second) && to.equals(first));
    }
}
