package org.filbertrudder.gateway.traffic;

import java.util.Optional;

/**
 * Holds what a caller tells when it asks which instances to use.
 *
 * @param host the host that the caller wants to reach
 * @param region the caller's region, if it tells
 * @param failureDomain the caller's failure domain, if it tells
 */
public record DirectoryQuestion(
        String host, Optional<String> region, Optional<String> failureDomain) {

    /** Returns what callers have in common that are led to the same instances. */
    String placementKey() {
        return region.orElse("") + "/" + failureDomain.orElse("") + "/" + host;
    }
}
