package org.filbertrudder.store;

import java.util.List;
import org.filbertrudder.model.StoreEra;

/**
 * Holds the outcome of a transaction.
 *
 * @param era the era of the store in which the transaction was executed
 * @param revision the store revision of the writes; 0 if the store does not report it
 * @param succeeded whether the conditions were met and the writes took effect
 * @param currentValues the keys that were read because a condition was not met
 */
public record TransactionResult(
        StoreEra era, long revision, boolean succeeded, List<KeyValue> currentValues) {}
