package org.filbertrudder.gateway.config;

import java.util.Optional;
import org.filbertrudder.model.ServiceId;

/**
 * Describes a service that endpoints provide.
 *
 * @param id the service's id
 * @param maxConnections the connections that an endpoint accepts from all callers together
 * @param warmupMs how long an endpoint stays cold after its start, in milliseconds
 * @param warmupPerSecond the requests a second that a cold endpoint bears; 0 means no limit
 * @param engine the engines, if the service runs models
 */
public record ServiceRule(
        ServiceId id,
        int maxConnections,
        long warmupMs,
        double warmupPerSecond,
        Optional<EngineRule> engine) {}
