package org.filbertrudder.store;

/**
 * Describes an instance to callers.
 *
 * @param id the instance's id
 * @param region the instance's region
 * @param url where callers reach it
 */
public record DirectoryEntry(String id, String region, String url) {}
