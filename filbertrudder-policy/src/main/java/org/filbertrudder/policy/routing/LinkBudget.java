package org.filbertrudder.policy.routing;

import java.util.HashMap;
import java.util.Map;
import org.filbertrudder.model.RegionId;

/**
 * Limits what the requests of one instance may use of the links to other regions.
 *
 * <p>Bytes are charged as they travel, so a long answer may overdraw the budget; new requests then
 * have to wait until it has recovered.
 */
public final class LinkBudget {

    private static final double MS_PER_SECOND = 1_000;

    private final Map<RegionId, Bucket> mBuckets = new HashMap<>();

    /** Returns whether another request may be sent over the link to the region. */
    public boolean hasRoom(RegionId region, double bytesPerSecond, long nowMs) {
        Bucket bucket = mBuckets.computeIfAbsent(region, key -> new Bucket(bytesPerSecond, nowMs));
        bucket.refill(bytesPerSecond, nowMs);
        return bucket.mLevelBytes > 0;
    }

    /** Charges bytes that have travelled to or from the region. */
    public void charge(RegionId region, long bytes) {
        Bucket bucket = mBuckets.get(region);
        if (bucket != null) {
            bucket.mLevelBytes -= bytes;
        }
    }

    /** Holds what one link may carry, at most for one second in advance. */
    private static final class Bucket {

        private double mLevelBytes;
        private long mRefilledMs;

        Bucket(double levelBytes, long nowMs) {
            mLevelBytes = levelBytes;
            mRefilledMs = nowMs;
        }

        void refill(double bytesPerSecond, long nowMs) {
            double added = bytesPerSecond * (nowMs - mRefilledMs) / MS_PER_SECOND;
            mLevelBytes = Math.min(bytesPerSecond, mLevelBytes + added);
            mRefilledMs = nowMs;
        }
    }
}
