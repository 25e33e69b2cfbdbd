package org.filbertrudder.store;

/**
 * Holds the numbers of calls to the store.
 *
 * @param reads the number of reads
 * @param writes the number of transactions and lease calls
 * @param watches the number of watches opened
 * @param failures the number of calls that failed
 */
public record StoreCallCounts(long reads, long writes, long watches, long failures) {}
