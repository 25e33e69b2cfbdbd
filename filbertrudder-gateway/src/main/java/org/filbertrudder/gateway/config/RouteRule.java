package org.filbertrudder.gateway.config;

import java.util.List;
import org.filbertrudder.model.AllowedRegions;
import org.filbertrudder.model.ServiceId;

/**
 * Routes the requests to a host and path prefix to services.
 *
 * @param name the name that operators gave the route
 * @param host the host name in the requests
 * @param pathPrefix the path prefix; begins and ends with a slash
 * @param kind whether requests may be retried, and how they are answered
 * @param timeoutMs the time within which a request must be completely answered, in milliseconds
 * @param goalMs the latency goal (target response time), in milliseconds
 * @param targetEventGapMs the target for the longest gap between events of a stream, in
 *     milliseconds; 0 if none is set
 * @param priority the priority of the requests; 0 is the most urgent
 * @param backends the services among which requests are divided; at least one
 * @param maxRuns the maximum number of attempts that may execute the same request
 * @param anonymous whether requests need no API key
 * @param resumable whether another endpoint may resume an interrupted stream
 * @param allowedRegions the regions that may serve the requests
 */
public record RouteRule(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        long timeoutMs,
        long goalMs,
        long targetEventGapMs,
        int priority,
        List<Backend> backends,
        int maxRuns,
        boolean anonymous,
        boolean resumable,
        AllowedRegions allowedRegions) {

    /** Makes an immutable copy of the backends. */
    public RouteRule {
        backends = List.copyOf(backends);
    }

    /** Returns whether a request may be retried when an endpoint may already have run it. */
    public boolean isRepeatable() {
        return kind == RequestKind.SAFE || (kind == RequestKind.STREAM && resumable);
    }

    /** Returns whether requests may be passed to the service. */
    public boolean isServedBy(ServiceId service) {
        return backends.stream()
                .anyMatch(backend -> backend.service().equals(service) && backend.weight() > 0);
    }

    /**
     * Chooses the service for a request.
     *
     * @param fraction a number from 0 (inclusive) to 1 (exclusive), uniformly distributed over the
     *     requests
     */
    public ServiceId chooseService(double fraction) {
        double totalWeight = backends.stream().mapToDouble(Backend::weight).sum();
        double remainingWeight = fraction * totalWeight;
        for (Backend backend : backends) {
            remainingWeight -= backend.weight();
            if (remainingWeight < 0) {
                return backend.service();
            }
        }
        return backends.get(0).service();
    }
}
