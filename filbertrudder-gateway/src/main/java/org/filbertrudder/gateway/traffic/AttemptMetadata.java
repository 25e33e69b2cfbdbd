package org.filbertrudder.gateway.traffic;

import java.util.Optional;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.EndpointId;

/**
 * Holds the metadata that this instance sends to an endpoint with a request.
 *
 * @param endpoint the endpoint that the request is addressed to; any other endpoint must reject it
 * @param account the client account, if the request carries an API key
 * @param remainingMs the time until the request's deadline, in milliseconds
 * @param priority the priority among the endpoint's requests; 0 is the most urgent
 * @param lastEventId the id of the event after which a stream resumes; 0 to start from its
 *     beginning
 */
public record AttemptMetadata(
        EndpointId endpoint,
        Optional<AccountId> account,
        long remainingMs,
        int priority,
        long lastEventId) {}
