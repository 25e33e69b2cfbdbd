package org.filbertrudder.gateway.control;

import java.util.Map;
import org.filbertrudder.model.StoreEra;

/**
 * Holds the registrations of all endpoints as the store has returned them.
 *
 * @param era the era of the store in which they were read
 * @param registrations the registrations, undecoded, by endpoint id
 */
public record EndpointListing(StoreEra era, Map<String, String> registrations) {

    /** Makes an immutable copy of the registrations. */
    public EndpointListing {
        registrations = Map.copyOf(registrations);
    }
}
