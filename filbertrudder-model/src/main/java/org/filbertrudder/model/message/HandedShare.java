package org.filbertrudder.model.message;

import org.filbertrudder.model.AccountId;

/**
 * Describes the share of one client account at the moment its holder gave it up.
 *
 * @param account the client account
 * @param level the tokens left
 * @param lentRatePerSecond the rate that is lent to other regions, in tokens per second
 * @param lentTokens the tokens that are lent to other regions
 * @param lentForMs how long the loans may still be in use, in milliseconds
 */
public record HandedShare(
        AccountId account,
        double level,
        double lentRatePerSecond,
        double lentTokens,
        long lentForMs) {}
