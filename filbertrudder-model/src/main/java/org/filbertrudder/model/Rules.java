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
 */
public record Rules(
        long maxQueueWaitMs,
        long requestTimeoutMs,
        int maxOutputTokens,
        long awayCostMs,
        double retryShare)
        implements Entity {

    /** The rules in force before operators set any. */
    public static final Rules DEFAULT = new Rules(10_000, 120_000, 256, 200, 0.1);

    private static final String NAME = "rules";

    @Override
    public EntityKey entityKey() {
        return EntityKey.of(EntityKind.RULES, NAME);
    }
}
