package org.filbertrudder.model.message;

import org.filbertrudder.model.EndpointId;

/**
 * Describes an endpoint that has refused a connection and may have restarted since.
 *
 * @param endpoint the endpoint
 * @param startedMs the registered start of its process, in milliseconds since the epoch
 * @param refusedAgeMs the time since it refused a connection, in milliseconds
 * @param acceptedAgeMs the time since it accepted a connection again, in milliseconds; -1 if it has
 *     not yet
 */
public record SuspectedRestart(
        EndpointId endpoint, long startedMs, long refusedAgeMs, long acceptedAgeMs) {}
