package org.filbertrudder.model;

/**
 * Holds the operators' rules on top of the inventory.
 *
 * @param maxQueueWaitMs how long a request may wait for capacity or tokens, in milliseconds
 * @param requestTimeoutMs the longest a request may take in all, in milliseconds
 * @param maxOutputTokens the output limit for a request that names none, in tokens
 * @param awayCostMs the extra expected wait in the caller's region, in milliseconds, that makes
 *     another region the better choice, on top of the link delay
 * @param retryShare the share of requests, from 0 to 1, that may be retries
 * @param awayLinkShare the share of a link's rate, from 0 to 1, that forwarded requests may use;
 *     null for the usual one
 * @param weightLoadsPerMinute how often engines of all regions together may fetch weights in a
 *     minute; null for the usual limit
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

    private static final double USUAL_LINK_SHARE = 0.5;
    private static final int USUAL_WEIGHT_LOADS_PER_MINUTE = 60;
    private static final String NAME = "rules";

    /** The rules in force before operators set any. */
    public static final Rules DEFAULT = of(10_000, 120_000, 256, 200, 0.1);

    /** Fills in the limits that an operator has left out. */
    public Rules {
        awayLinkShare = awayLinkShare == null ? USUAL_LINK_SHARE : awayLinkShare;
        weightLoadsPerMinute =
                weightLoadsPerMinute == null ? USUAL_WEIGHT_LOADS_PER_MINUTE : weightLoadsPerMinute;
    }

    /** Returns rules with the usual limits of links and weight loads. */
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

    /** Returns the rules with another longest wait, in milliseconds. */
    public Rules withMaxQueueWaitMs(long newWaitMs) {
        return new Rules(
                newWaitMs,
                requestTimeoutMs,
                maxOutputTokens,
                awayCostMs,
                retryShare,
                awayLinkShare,
                weightLoadsPerMinute);
    }

    /** Returns the rules with another share of retries, from 0 to 1. */
    public Rules withRetryShare(double newShare) {
        return new Rules(
                maxQueueWaitMs,
                requestTimeoutMs,
                maxOutputTokens,
                awayCostMs,
                newShare,
                awayLinkShare,
                weightLoadsPerMinute);
    }

    /** Returns the rules with another limit on weight loads. */
    public Rules withWeightLoadsPerMinute(int newLimit) {
        return new Rules(
                maxQueueWaitMs,
                requestTimeoutMs,
                maxOutputTokens,
                awayCostMs,
                retryShare,
                awayLinkShare,
                newLimit);
    }

    @Override
    public EntityKey entityKey() {
        return EntityKey.of(EntityKind.RULES, NAME);
    }
}
