package org.filbertrudder.model;

/**
 * Holds the limits and weights that operators set for the whole system.
 *
 * @param maxQueueWaitMs the maximum time a request waits for capacity or tokens, in milliseconds
 * @param requestTimeoutMs the maximum total time of a request, in milliseconds
 * @param maxOutputTokens the default output limit of a request, in tokens
 * @param awayCostMs the additional expected wait in the caller's region, in milliseconds, beyond
 *     the link delay, at which another region is preferred
 * @param retryShare the maximum fraction of requests that are retries, from 0 to 1
 * @param awayLinkShare the fraction of a link's capacity that forwarded requests may use, from 0 to
 *     1; null for the default
 * @param weightLoadsPerMinute the maximum number of weight fetches per minute over the engines of
 *     all regions; null for the default
 */
public record Rules(
        long maxQueueWaitMs,
        long requestTimeoutMs,
        int maxOutputTokens,
        long awayCostMs,
        double retryShare,
        Double awayLinkShare,
        Integer weightLoadsPerMinute)
        implements Entity {

    private static final double DEFAULT_AWAY_LINK_SHARE = 0.5;
    private static final int DEFAULT_WEIGHT_LOADS_PER_MINUTE = 60;
    private static final String ENTITY_NAME = "rules";

    /** The rules that apply until operators set others. */
    public static final Rules DEFAULT = of(10_000, 120_000, 256, 200, 0.1);

    /** Replaces null limits by their defaults. */
    public Rules {
        awayLinkShare = awayLinkShare == null ? DEFAULT_AWAY_LINK_SHARE : awayLinkShare;
        weightLoadsPerMinute =
                weightLoadsPerMinute == null
                        ? DEFAULT_WEIGHT_LOADS_PER_MINUTE
                        : weightLoadsPerMinute;
    }

    /** Returns rules with the default limits for links and weight loads. */
    public static Rules of(
            long maxQueueWaitMs,
            long requestTimeoutMs,
            int maxOutputTokens,
            long awayCostMs,
            double retryShare) {
        return new Rules(
                maxQueueWaitMs,
                requestTimeoutMs,
                maxOutputTokens,
                awayCostMs,
                retryShare,
                null,
                null);
    }

    /** Returns a copy with the given maximum queue wait, in milliseconds. */
    public Rules withMaxQueueWaitMs(long newMaxQueueWaitMs) {
        return new Rules(
                newMaxQueueWaitMs,
                requestTimeoutMs,
                maxOutputTokens,
                awayCostMs,
                retryShare,
                awayLinkShare,
                weightLoadsPerMinute);
    }

    /** Returns a copy with the given maximum fraction of retries, from 0 to 1. */
    public Rules withRetryShare(double newRetryShare) {
        return new Rules(
                maxQueueWaitMs,
                requestTimeoutMs,
                maxOutputTokens,
                awayCostMs,
                newRetryShare,
                awayLinkShare,
                weightLoadsPerMinute);
    }

    /** Returns a copy with the given limit on weight loads per minute. */
    public Rules withWeightLoadsPerMinute(int newWeightLoadsPerMinute) {
        return new Rules(
                maxQueueWaitMs,
                requestTimeoutMs,
                maxOutputTokens,
                awayCostMs,
                retryShare,
                awayLinkShare,
                newWeightLoadsPerMinute);
    }

    @Override
    public EntityKey entityKey() {
        return EntityKey.of(EntityKind.RULES, ENTITY_NAME);
    }
}
