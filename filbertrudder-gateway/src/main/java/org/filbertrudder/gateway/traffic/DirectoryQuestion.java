package org.filbertrudder.gateway.traffic;

import java.util.Optional;

/**
 * Holds what a caller tells when it asks which instances to use.
 *
 * @param host the host that the caller wants to reach
 * @param region the caller's region, if it tells
 */
public record DirectoryQuestion(String host, Optional<String> region) {}
