package org.filbertrudder.policy.routing;

import org.filbertrudder.model.RegionId;

/** Tells whether another region has an instance that takes forwarded requests. */
@FunctionalInterface
public interface RegionReach {

    /** Returns whether the region can be reached now. */
    boolean reachable(RegionId region);
}
