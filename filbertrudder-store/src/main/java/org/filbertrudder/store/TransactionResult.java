package org.filbertrudder.store;

import java.util.List;

/**
 * Holds the outcome of a transaction.
 *
 * @param succeeded whether the conditions were met and the writes took effect
 * @param currentValues the keys that were read because a condition was not met
 */
public record TransactionResult(boolean succeeded, List<KeyValue> currentValues) {}
