package org.filbertrudder.store;

/**
 * Holds the caller directory entry of an instance.
 *
 * @param id the id of the instance
 * @param region the region of the instance
 * @param url the URL at which callers reach the instance
 */
public record DirectoryEntry(String id, String region, String url) {}
