package org.filbertrudder.gateway.traffic;

import java.util.Optional;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.EndpointId;

/**
 * Holds what this instance tells an endpoint about a request.
 *
 * @param endpoint the endpoint that may run the request; any other must refuse it
 * @param account the client account, if the request came with a key
 * @param leftMs how long the answer is of use, in milliseconds
 * @param priority the rank among the requests of the endpoint; 0 is the most urgent
 * @param lastEventId the event after which a stream goes on; 0 for a stream from its start
 */
public record AttemptHead(
        EndpointId endpoint,
        Optional<AccountId> account,
        long leftMs,
        int priority,
        long lastEventId) {}
