package org.filbertrudder.gateway.config;

import java.util.Optional;
import org.filbertrudder.model.ServiceId;

/**
 * Holds the limits of the endpoints of a service.
 *
 * @param id the service's id
 * @param maxConnections the number of connections that an endpoint accepts from all clients
 *     together
 * @param warmupMs the warm-up time of an endpoint after its start, in milliseconds
 * @param warmupRequestsPerSecond the requests per second that an endpoint can take during its
 *     warm-up; 0 means no limit
 * @param engine the capacity of the model engines, if the service has any
 */
public record ServiceRule(
        ServiceId id,
        int maxConnections,
        long warmupMs,
        double warmupRequestsPerSecond,
        Optional<EngineCapacity> engine) {}
