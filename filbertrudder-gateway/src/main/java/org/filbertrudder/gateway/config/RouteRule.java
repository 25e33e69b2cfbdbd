package org.filbertrudder.gateway.config;

import java.util.List;
import java.util.Set;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;

/**
 * Sends the requests of a host below a path prefix to services.
 *
 * @param name the operators' name of the route
 * @param host the host that callers name
 * @param pathPrefix begins and ends with a slash
 * @param kind how requests may be repeated
 * @param timeoutMs the longest time until a request's final answer, in milliseconds
 * @param goalMs the time within which an answer is in time, in milliseconds
 * @param pauseGoalMs the longest pause in a stream that is still in time, in milliseconds; 0 if the
 *     operators name none
 * @param priority the rank of the requests; 0 is the most urgent
 * @param backends the services that share the requests; at least one
 * @param maxRuns the most endpoints that may begin to run one request
 * @param open whether callers need no key
 * @param resumable whether another endpoint may go on with a broken stream
 * @param homes the only regions that may serve the requests; empty means any region
 */
public record RouteRule(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        long timeoutMs,
        long goalMs,
        long pauseGoalMs,
        int priority,
        List<Backend> backends,
        int maxRuns,
        boolean open,
        boolean resumable,
        Set<RegionId> homes) {

    /** Copies the collections. */
    public RouteRule {
        backends = List.copyOf(backends);
        homes = Set.copyOf(homes);
    }

    /** Returns whether a request may run again after it may have run already. */
    public boolean isRepeatable() {
        return kind == RequestKind.SAFE || (kind == RequestKind.STREAM && resumable);
    }

    /** Returns whether the route's data may be processed in the region. */
    public boolean allows(RegionId region) {
        return homes.isEmpty() || homes.contains(region);
    }

    /**
     * Chooses the service for a request.
     *
     * @param point a number from 0 (inclusive) to 1 (exclusive), evenly spread over the requests
     */
    public ServiceId serviceAt(double point) {
        double total = backends.stream().mapToDouble(Backend::weight).sum();
        double remaining = point * total;
        for (Backend backend : backends) {
            remaining -= backend.weight();
            if (remaining < 0) {
                return backend.service();
            }
        }
        return backends.get(0).service();
    }
}
