package org.filbertrudder.policy.routing;

import java.util.HashMap;
import java.util.Map;
import org.filbertrudder.model.RegionId;

/**
 * Limits the bandwidth that one instance uses on the links to other regions, with a token bucket
 * for each link.
 *
 * <p>Bytes are charged when they are transferred, so a long response may overdraw the budget; new
 * requests are then not allowed until the budget is positive again.
 */
public final class LinkBudget {

    private static final double MS_PER_SECOND = 1_000;

    private final Map<RegionId, Bucket> mBuckets = new HashMap<>();

    /** Returns whether the budget of the link to the region allows another request. */
    public boolean allowsRequest(RegionId region, double bytesPerSecond, long nowMs) {
        Bucket bucket = mBuckets.computeIfAbsent(region, key -> new Bucket(bytesPerSecond, nowMs));
        bucket.refill(bytesPerSecond, nowMs);
        return bucket.mAvailableBytes > 0;
    }

    /** Charges bytes that have been transferred to or from the region. */
    public void charge(RegionId region, long bytes) {
        Bucket bucket = mBuckets.get(region);
        if (bucket != null) {
            bucket.mAvailableBytes -= bytes;
        }
    }

    /** Holds the byte budget of one link, which accumulates for at most one second. */
    private static final class Bucket {

        private double mAvailableBytes;
        private long mRefilledMs;

        Bucket(double availableBytes, long nowMs) {
            mAvailableBytes = availableBytes;
            mRefilledMs = nowMs;
        }

        void refill(double bytesPerSecond, long nowMs) {
            double refilledBytes = bytesPerSecond * (nowMs - mRefilledMs) / MS_PER_SECOND;
            mAvailableBytes = Math.min(bytesPerSecond, mAvailableBytes + refilledBytes);
            mRefilledMs = nowMs;
        }
    }
}
