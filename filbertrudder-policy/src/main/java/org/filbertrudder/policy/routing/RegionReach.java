package org.filbertrudder.policy.routing;

import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;

/** Tells which other regions can take requests at present. */
@FunctionalInterface
public interface RegionReach {

    /** Returns whether an instance in the region can be reached. */
    boolean reachable(RegionId region);

    /** Returns how long a new request of the service would wait there, in milliseconds. */
    default double startDelayMs(ServiceId service, RegionId region) {
        return 0;
    }

    /** Returns whether the link to the region has room for one more request. */
    default boolean hasRoom(RegionId region) {
        return true;
    }
}
