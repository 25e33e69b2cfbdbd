package org.filbertrudder.model;

/**
 * Identifies one uninterrupted history of a store.
 *
 * <p>A store that is restored from a copy begins a new era. Revisions and leases of different eras
 * cannot be compared, as the store issues the same numbers again.
 *
 * @param number the number of the era, which increases with each restore; 0 if the store does not
 *     report eras
 */
public record StoreEra(long number) implements Comparable<StoreEra> {

    /** The era of a store that does not report eras. */
    public static final StoreEra UNREPORTED = new StoreEra(0);

    /** Returns whether this era began after another one. */
    public boolean isAfter(StoreEra other) {
        return number > other.number;
    }

    @Override
    public int compareTo(StoreEra other) {
        return Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return Long.toString(number);
    }
}
