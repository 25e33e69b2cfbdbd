package org.filbertrudder.store;

/**
 * Holds a key of the store with its value and revisions.
 *
 * @param key the key
 * @param value the value, decoded as UTF-8 text
 * @param createRevision the store revision that created the key
 * @param modRevision the store revision that last changed the key
 */
public record KeyValue(String key, String value, long createRevision, long modRevision) {}
