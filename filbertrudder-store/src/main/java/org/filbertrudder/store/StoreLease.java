package org.filbertrudder.store;

import org.filbertrudder.model.StoreEra;

/**
 * Identifies a lease of the store.
 *
 * @param id the id of the lease, which may belong to another lease in another era
 * @param era the era of the store in which the lease was granted
 */
public record StoreLease(long id, StoreEra era) {}
