package org.filbertrudder.policy.scheduling;

import java.util.Set;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.AllowedRegions;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.policy.routing.PromptDemand;

/**
 * Describes a request that waits for its start.
 *
 * @param id identifies the request
 * @param account the client account that is charged
 * @param rank the priority of the request; 0 is the most urgent
 * @param prompt the prompt and the expected output
 * @param allowedRegions the regions where the request may run
 * @param excluded the endpoints that must not run the request
 * @param forwarded whether another region has forwarded the request
 * @param ageMs the time since the request arrived at its instance, in milliseconds
 * @param goalMs the latency goal, counted from the arrival, in milliseconds
 * @param waitLimitMs the time left until the request must have started, in milliseconds
 * @param remainingMs the time left until its deadline, in milliseconds
 * @param digest identifies the account and the content, by which a retry is recognized
 */
public record StartRequest(
        StartId id,
        AccountId account,
        int rank,
        PromptDemand prompt,
        AllowedRegions allowedRegions,
        Set<EndpointId> excluded,
        boolean forwarded,
        long ageMs,
        long goalMs,
        long waitLimitMs,
        long remainingMs,
        long digest) {

    /** Makes an immutable copy of the excluded endpoints. */
    public StartRequest {
        excluded = Set.copyOf(excluded);
    }
}
