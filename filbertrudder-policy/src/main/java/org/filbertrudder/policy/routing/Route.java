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
     * @param expected the endpoint that is expected to run it there, if that matters
     */
    record Away(RegionId region, Optional<EndpointState> expected) implements Route {

        /** Forwards the request to any endpoint of a region. */
        Away(RegionId region) {
            this(region, Optional.empty());
        }
    }

    /** Waits until an endpoint of this region has room. */
    record Wait() implements Route {}

    /**
     * Waits for one engine that keeps the prompt's shared parts and is busy reading, although
     * others have room.
     */
    record WaitForEngine() implements Route {}

    /**
     * Refuses the request.
     *
     * @param reason why no region can serve it
     * @param backInMs after which time an endpoint takes requests again, in milliseconds; 0 if that
     *     is not known
     */
    record Refuse(Reason reason, long backInMs) implements Route {

        /** Refuses a request without knowing when an endpoint takes it. */
        public Refuse(Reason reason) {
            this(reason, 0);
        }
    }

    /** Lists why no region can serve a request. */
    enum Reason {
        /** No region that may serve the request has an endpoint. */
        NO_ENDPOINT_ALLOWED,
        /** The endpoints of the allowed regions are down or unreachable. */
        NONE_AVAILABLE
    }
}
