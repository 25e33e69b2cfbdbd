package org.filbertrudder.store;

import java.util.List;

/**
 * Holds the outcome of a transaction.
 *
 * @param succeeded whether the conditions held and the writes took effect
 * @param found the keys that were read because the conditions did not hold
 */
public record TransactionResult(boolean succeeded, List<KeyValue> found) {}
