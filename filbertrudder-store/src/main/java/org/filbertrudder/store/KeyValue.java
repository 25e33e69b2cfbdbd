package org.filbertrudder.store;

/**
 * Holds one key of the store with its value.
 *
 * @param key the key
 * @param value the value as text
 * @param createRevision the store revision at which the key was created
 * @param modRevision the store revision of the last change of the key
 */
public record KeyValue(String key, String value, long createRevision, long modRevision) {}
