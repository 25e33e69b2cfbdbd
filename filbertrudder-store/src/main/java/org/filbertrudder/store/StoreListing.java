package org.filbertrudder.store;

import java.util.List;
import org.filbertrudder.model.StoreEra;

/**
 * Holds the keys with a prefix that a store has returned.
 *
 * @param era the era of the store in which the keys were read
 * @param items the keys in ascending order
 */
public record StoreListing(StoreEra era, List<KeyValue> items) {

    /** Makes an immutable copy of the keys. */
    public StoreListing {
        items = List.copyOf(items);
    }
}
