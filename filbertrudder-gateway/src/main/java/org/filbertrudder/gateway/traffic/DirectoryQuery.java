package org.filbertrudder.gateway.traffic;

import java.util.Optional;

/**
 * Holds the parameters of a caller's directory lookup for the instances to use.
 *
 * @param host the host that the caller requests
 * @param region the caller's region, if stated
 * @param failureDomain the caller's failure domain, if stated
 */
public record DirectoryQuery(String host, Optional<String> region, Optional<String> failureDomain) {

    /** Returns a key for placement; callers with the same key are assigned the same instances. */
    String placementKey() {
        return region.orElse("") + "/" + failureDomain.orElse("") + "/" + host;
    }
}
