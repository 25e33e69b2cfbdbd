package org.filbertrudder.model.message;

import org.filbertrudder.model.AccountId;

/**
 * Transfers the token bucket of one client account to the next owner of its shard.
 *
 * @param account the client account
 * @param level the tokens left in the bucket
 * @param lentRatePerSecond the rate lent to other regions, in tokens per second
 * @param lentTokens the tokens lent to other regions
 * @param lentForMs the remaining time until the last loan has expired, in milliseconds
 */
public record AccountShareSnapshot(
        AccountId account,
        double level,
        double lentRatePerSecond,
        double lentTokens,
        long lentForMs) {}
