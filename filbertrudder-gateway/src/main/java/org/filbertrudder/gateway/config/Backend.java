package org.filbertrudder.gateway.config;

import org.filbertrudder.model.ServiceId;

/**
 * Assigns a weighted share of a route's requests to a service.
 *
 * @param service the service
 * @param weight the service's share, relative to the route's other backends; not negative
 */
public record Backend(ServiceId service, double weight) {}
