package org.filbertrudder.gateway.config;

import java.util.Optional;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.AllowedRegions;
import org.filbertrudder.model.Contract;

/**
 * Holds the limits and regions of a client account.
 *
 * @param id the account's id
 * @param priority replaces the routes' priority, if present; 0 is the most urgent
 * @param contract the rate and burst for all instances together; absent means no limit
 * @param countsTokens whether the contract counts tokens; otherwise it counts requests
 * @param defaultTokens the cost in tokens of a request without a token count
 * @param allowedRegions the regions that may serve the account
 */
public record AccountRule(
        AccountId id,
        Optional<Integer> priority,
        Optional<Contract> contract,
        boolean countsTokens,
        long defaultTokens,
        AllowedRegions allowedRegions) {

    /**
     * Returns how many units of the contract a request consumes.
     *
     * @param tokens the number of prompt tokens plus the maximum number of output tokens; absent
     *     for a request without a token count
     */
    public long cost(Optional<Long> tokens) {
        return countsTokens ? tokens.orElse(defaultTokens) : 1;
    }
}
