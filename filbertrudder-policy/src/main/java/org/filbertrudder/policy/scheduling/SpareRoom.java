package org.filbertrudder.policy.scheduling;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.policy.routing.PrefixCacheHints;
import org.filbertrudder.policy.routing.PromptDemand;

/**
 * Decides how much work a region offers to take from others, and which requests leave it.
 *
 * <p>An offer depends only on the demand of the region's own callers, not on the requests sent to
 * it, so the regions do not oscillate.
 */
public final class SpareRoom {

    /** The share of the capacity that is used; the rest is for the own callers' next second. */
    private static final double USED_SHARE = 0.75;

    /** The wait of a region's own requests above which it offers nothing, in milliseconds. */
    private static final double MAX_OWN_WAIT_MS = 100;

    /** The wait of another region's requests from which on it needs capacity, in milliseconds. */
    private static final double NEED_WAIT_MS = 50;

    /** The weight of a region that needs no capacity, against 1 for one that does. */
    private static final double WEIGHT_WITHOUT_NEED = 0.1;

    /** The cost of leaving the region in addition to the way there and back, in milliseconds. */
    private static final double LEAVING_COST_MS = 100;

    /** The age from which on an offer counts as empty, in milliseconds. */
    private static final long OFFER_LIFETIME_MS = 1_000;

    private final int mOthers;
    private final double mLeavingCostMs;
    private final Map<RegionId, OfferedRoom> mRooms = new TreeMap<>();

    /** Creates the exchange of a region with the others; the own region is not one of them. */
    public SpareRoom(RegionId own, Collection<RegionId> others, double oneWayDelayMs) {
        others.stream()
                .filter(region -> !region.equals(own))
                .forEach(region -> mRooms.put(region, new OfferedRoom()));
        mOthers = mRooms.size();
        mLeavingCostMs = 2 * oneWayDelayMs + LEAVING_COST_MS;
    }

    /** Records what another region offers; unknown regions are ignored. */
    public void recordOffer(
            RegionId region, double tokensPerSecond, double startsPerSecond, long nowMs) {
        OfferedRoom room = mRooms.get(region);
        if (room != null) {
            room.recordOffer(tokensPerSecond, startsPerSecond, nowMs);
        }
    }

    /** Records how long the requests of another region's own callers wait. */
    public void recordWait(RegionId region, double waitMs, long nowMs) {
        OfferedRoom room = mRooms.get(region);
        if (room != null) {
            room.mNeedEndMs = waitMs >= NEED_WAIT_MS ? nowMs + OFFER_LIFETIME_MS : nowMs;
        }
    }

    /**
     * Takes room for a request in another region, if leaving is worthwhile and one has room.
     *
     * <p>Shared parts that were sent to a region before are probably cached there and are not taken
     * from its offer.
     */
    public Optional<RegionId> take(
            PromptDemand prompt,
            Predicate<RegionId> allowed,
            double forecastMs,
            double waitLimitMs,
            long nowMs) {
        if (forecastMs <= Math.min(mLeavingCostMs, waitLimitMs)) {
            return Optional.empty();
        }
        RegionId best = null;
        for (Map.Entry<RegionId, OfferedRoom> entry : mRooms.entrySet()) {
            OfferedRoom room = entry.getValue();
            room.update(nowMs);
            if (room.hasRoom(prompt, nowMs)
                    && allowed.test(entry.getKey())
                    && (best == null || room.isBetter(mRooms.get(best), prompt, nowMs))) {
                best = entry.getKey();
            }
        }
        if (best != null) {
            mRooms.get(best).take(prompt, nowMs);
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns what this region offers to each of the others.
     *
     * @param capacityTokensPerMs the prompt speed of all usable engines, in tokens per millisecond
     * @param ownTokensPerMs the tokens that the own callers ask for, per millisecond
     * @param startsPerSecond the starts per second that all slots of the engines allow
     * @param ownStartsPerSecond the starts per second that the own callers ask for
     * @param ownWaitMs the wait of the own callers' requests, in milliseconds
     */
    public Offer offer(
            double capacityTokensPerMs,
            double ownTokensPerMs,
            double startsPerSecond,
            double ownStartsPerSecond,
            double ownWaitMs) {
        if (mOthers == 0 || ownWaitMs > MAX_OWN_WAIT_MS) {
            return new Offer(0, 0);
        }
        double tokensPerMs = USED_SHARE * capacityTokensPerMs - ownTokensPerMs;
        double starts = USED_SHARE * startsPerSecond - ownStartsPerSecond;
        return new Offer(Math.max(0, tokensPerMs) * 1_000 / mOthers, Math.max(0, starts) / mOthers);
    }

    /**
     * Returns the part of an offer for one region. Most of it goes to the regions whose callers
     * wait; equal parts would leave capacity unused while only one region needs it.
     *
     * @param equal the offer if all other regions get the same
     */
    public Offer partFor(RegionId region, Offer equal, long nowMs) {
        OfferedRoom room = mRooms.get(region);
        if (room == null) {
            return new Offer(0, 0);
        }
        double weights = mRooms.values().stream().mapToDouble(each -> each.weight(nowMs)).sum();
        double factor = mOthers * room.weight(nowMs) / weights;
        return new Offer(factor * equal.tokensPerSecond(), factor * equal.startsPerSecond());
    }

    /**
     * Describes the work that a region can take from each other one.
     *
     * @param tokensPerSecond the prompt tokens per second
     * @param startsPerSecond the starts per second
     */
    public record Offer(double tokensPerSecond, double startsPerSecond) {}

    /** Holds the room in one other region, and the prompt parts that were sent there. */
    private static final class OfferedRoom {

        private final PrefixCacheHints mSentParts = new PrefixCacheHints();
        private final Bucket mTokens = new Bucket(0);
        private final Bucket mStarts = new Bucket(1);
        private long mOfferEndMs;
        private long mUpdatedMs;
        private long mNeedEndMs;

        double weight(long nowMs) {
            return nowMs < mNeedEndMs ? 1 : WEIGHT_WITHOUT_NEED;
        }

        void recordOffer(double tokensPerSecond, double startsPerSecond, long nowMs) {
            update(nowMs);
            mTokens.setRate(tokensPerSecond);
            mStarts.setRate(startsPerSecond);
            mUpdatedMs = nowMs;
            mOfferEndMs = nowMs + OFFER_LIFETIME_MS;
        }

        void update(long nowMs) {
            double elapsedMs = Math.max(0, Math.min(nowMs, mOfferEndMs) - mUpdatedMs);
            mTokens.fill(elapsedMs);
            mStarts.fill(elapsedMs);
            if (nowMs >= mOfferEndMs) {
                mTokens.setRate(0);
                mStarts.setRate(0);
            }
            mUpdatedMs = nowMs;
        }

        boolean hasRoom(PromptDemand prompt, long nowMs) {
            return mTokens.has(tokensToRead(prompt, nowMs)) && mStarts.has(1);
        }

        private long tokensToRead(PromptDemand prompt, long nowMs) {
            return prompt.promptTokens() - mSentParts.cachedTokens(prompt, nowMs);
        }

        boolean isBetter(OfferedRoom other, PromptDemand prompt, long nowMs) {
            long sentTokens = mSentParts.cachedTokens(prompt, nowMs);
            long otherSentTokens = other.mSentParts.cachedTokens(prompt, nowMs);
            return sentTokens == otherSentTokens
                    ? mTokens.mLevel > other.mTokens.mLevel
                    : sentTokens > otherSentTokens;
        }

        void take(PromptDemand prompt, long nowMs) {
            mTokens.mLevel -= tokensToRead(prompt, nowMs);
            mStarts.mLevel--;
            mSentParts.markCached(prompt, nowMs);
        }
    }

    /** Represents a token bucket that holds what is offered in a short time. */
    private static final class Bucket {

        private static final double MAX_FILL_MS = 250;

        private final double mMinCapacity;
        private double mRatePerMs;
        private double mLevel;

        Bucket(double minCapacity) {
            mMinCapacity = minCapacity;
        }

        void setRate(double ratePerSecond) {
            mRatePerMs = Math.max(0, ratePerSecond) / 1_000;
            mLevel = Math.min(mLevel, capacity());
        }

        void fill(double elapsedMs) {
            mLevel = Math.min(capacity(), mLevel + mRatePerMs * elapsedMs);
        }

        /** A request that exceeds the capacity may empty a full bucket, and leaves a debt. */
        boolean has(double amount) {
            return mRatePerMs > 0 && mLevel >= Math.min(amount, capacity());
        }

        private double capacity() {
            return mRatePerMs > 0 ? Math.max(mMinCapacity, MAX_FILL_MS * mRatePerMs) : 0;
        }
    }
}
