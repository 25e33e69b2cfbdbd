package org.filbertrudder.policy.routing;

import org.filbertrudder.model.RegionId;

/** Tells which other regions can take requests at present. */
@FunctionalInterface
public interface RegionReach {

    /** Returns whether an instance in the region can be reached. */
    boolean reachable(RegionId region);

    /** Returns whether the link to the region has room for one more request. */
    default boolean hasRoom(RegionId region) {
        return true;
    }
}
