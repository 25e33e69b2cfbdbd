package org.filbertrudder.policy.routing;

import java.util.Optional;
import org.filbertrudder.model.RegionId;

/** Represents the outcome of a routing decision. */
public sealed interface Route {

    /**
     * Runs the request on an endpoint of this region.
     *
     * @param endpoint the chosen endpoint
     */
    record Local(EndpointState endpoint) implements Route {}

    /**
     * Forwards the request to another region.
     *
     * @param region the region
     * @param expectedEndpoint the endpoint that the placement expects to run the request; empty for
     *     any
     */
    record Forward(RegionId region, Optional<EndpointState> expectedEndpoint) implements Route {

        /** Forwards the request to a region without expecting a particular endpoint. */
        Forward(RegionId region) {
            this(region, Optional.empty());
        }
    }

    /** Waits until a suitable endpoint can accept the request. */
    record Wait() implements Route {}

    /**
     * Waits for an engine with a full prefill backlog that has probably cached the prompt's shared
     * parts, although other engines could accept the request now.
     */
    record WaitForEngine() implements Route {}

    /**
     * Refuses the request.
     *
     * @param reason why no region can serve the request
     * @param retryAfterMs the time until an endpoint accepts requests again, in milliseconds; 0 if
     *     unknown
     */
    record Refuse(Reason reason, long retryAfterMs) implements Route {

        /** Refuses a request; it is unknown when an endpoint accepts requests again. */
        public Refuse(Reason reason) {
            this(reason, 0);
        }
    }

    /** Lists why no region can serve a request. */
    enum Reason {
        /** No region that is allowed to serve the request has an endpoint of the service. */
        NO_ENDPOINT_ALLOWED,
        /** No endpoint of the allowed regions is usable and reachable. */
        NONE_AVAILABLE,
        /** The request limits of the usable endpoints permit no further request for some time. */
        ALL_LIMITED
    }
}
