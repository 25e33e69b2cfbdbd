package org.filbertrudder.policy.routing;

import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;

/** Tells which other regions can currently accept forwarded requests. */
@FunctionalInterface
public interface RegionAvailability {

    /** Returns whether an instance in the region can be reached. */
    boolean isReachable(RegionId region);

    /** Returns the expected wait of a new request of the service in the region, in milliseconds. */
    default double expectedWaitMs(ServiceId service, RegionId region) {
        return 0;
    }

    /** Returns whether the link to the region has capacity for another request. */
    default boolean hasLinkCapacity(RegionId region) {
        return true;
    }
}
