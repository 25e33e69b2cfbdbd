package org.filbertrudder.entry.traffic;

import org.filbertrudder.entry.control.ControlSnapshot;
import org.filbertrudder.model.Link;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.policy.routing.LinkBudget;
import org.filbertrudder.policy.routing.RegionAvailability;

/**
 * Reports which regions have instances that accept work, and whether the links to them have
 * capacity for requests of this thread.
 */
final class LinkAvailability implements RegionAvailability {

    private static final int BITS_PER_BYTE = 8;

    private final TrafficContext mContext;
    private final int mThreadsPerInstance;
    private final LinkBudget mLinkBudget = new LinkBudget();

    LinkAvailability(TrafficContext context, int threadsPerInstance) {
        mContext = context;
        mThreadsPerInstance = threadsPerInstance;
    }

    @Override
    public boolean isReachable(RegionId region) {
        return !mContext.snapshot().membersAcceptingWorkIn(region).isEmpty();
    }

    @Override
    public boolean hasLinkCapacity(RegionId region) {
        return mLinkBudget.allowsRequest(region, bytesPerSecond(region), mContext.nowMs());
    }

    /** Charges bytes of a forwarded request or of its response to the link budget. */
    void charge(RegionId region, long bytes) {
        mLinkBudget.charge(region, bytes);
    }

    /** Returns this thread's share of the bandwidth that forwarded requests may use on the link. */
    private double bytesPerSecond(RegionId region) {
        ControlSnapshot snapshot = mContext.snapshot();
        RegionId ownRegion = snapshot.self().region();
        int threadsInRegion =
                Math.max(1, snapshot.membersAcceptingWorkIn(ownRegion).size())
                        * mThreadsPerInstance;
        double linkShare = snapshot.configuration().rules().awayLinkShare();
        return snapshot.configuration()
                .link(ownRegion, region)
                .map(Link::bitsPerSecond)
                .map(bits -> bits * linkShare / BITS_PER_BYTE / threadsInRegion)
                .orElse(Double.MAX_VALUE);
    }
}
