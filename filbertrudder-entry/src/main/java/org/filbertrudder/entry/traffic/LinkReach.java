package org.filbertrudder.entry.traffic;

import org.filbertrudder.entry.control.Snapshot;
import org.filbertrudder.model.Link;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.policy.routing.LinkBudget;
import org.filbertrudder.policy.routing.RegionReach;

/** Knows which regions have instances and how much of the links this thread may still use. */
final class LinkReach implements RegionReach {

    private static final int BITS_PER_BYTE = 8;

    private final TrafficContext mContext;
    private final int mTrafficThreads;
    private final LinkBudget mBudget = new LinkBudget();

    LinkReach(TrafficContext context, int trafficThreads) {
        mContext = context;
        mTrafficThreads = trafficThreads;
    }

    @Override
    public boolean reachable(RegionId region) {
        return !mContext.snapshot().workingIn(region).isEmpty();
    }

    @Override
    public boolean hasRoom(RegionId region) {
        return mBudget.hasRoom(region, bytesPerSecond(region), mContext.nowMs());
    }

    /** Charges bytes that a forwarded request or its answer has sent over the link. */
    void charge(RegionId region, long bytes) {
        mBudget.charge(region, bytes);
    }

    /** Divides the part of the link that forwarded requests may use among the instances here. */
    private double bytesPerSecond(RegionId region) {
        Snapshot snapshot = mContext.snapshot();
        RegionId here = snapshot.self().region();
        int sharers = Math.max(1, snapshot.workingIn(here).size()) * mTrafficThreads;
        double share = snapshot.configuration().rules().awayLinkShare();
        return snapshot.configuration()
                .link(here, region)
                .map(Link::bitsPerSecond)
                .map(bits -> bits * share / BITS_PER_BYTE / sharers)
                .orElse(Double.MAX_VALUE);
    }
}
