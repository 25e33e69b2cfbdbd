package org.filbertrudder.gateway.config;

import org.filbertrudder.model.ServiceId;

/**
 * Gives a service a part of a route's requests.
 *
 * @param service the service
 * @param weight its part, relative to the weights of the others; not negative
 */
public record Backend(ServiceId service, double weight) {}
