package org.filbertrudder.policy.scheduling;

import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.RegionId;

/** Represents the decision on a request that waits for its start. */
public sealed interface StartDecision {

    /** Returns the id of the request. */
    StartId id();

    /**
     * Starts the request now.
     *
     * @param id identifies the request
     * @param endpoint the engine
     * @param expectedDelayMs the expected time from sending to the first event, in milliseconds
     * @param waitedMs the time that the request has waited at the scheduler, in milliseconds
     */
    record Start(StartId id, EndpointId endpoint, double expectedDelayMs, double waitedMs)
            implements StartDecision {}

    /**
     * Forwards the request to another region.
     *
     * @param id identifies the request
     * @param region the region
     */
    record Forward(StartId id, RegionId region) implements StartDecision {}

    /**
     * Refuses the request.
     *
     * @param id identifies the request
     * @param reason why it gets no start
     * @param retryAfterMs when the caller may retry, in milliseconds
     */
    record Refuse(StartId id, RefusalReason reason, long retryAfterMs) implements StartDecision {}
}
