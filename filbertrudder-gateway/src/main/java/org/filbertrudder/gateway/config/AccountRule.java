package org.filbertrudder.gateway.config;

import java.util.Optional;
import java.util.Set;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Contract;
import org.filbertrudder.model.RegionId;

/**
 * Describes a client account.
 *
 * @param id the account's id
 * @param priority overrides the rank of the routes, if set; 0 is the most urgent
 * @param contract the rate and burst over all instances together; absent means no limit
 * @param countsTokens whether the contract counts tokens; otherwise it counts requests
 * @param plainTokens the tokens that a request without a token count costs
 * @param homes the only regions that may serve the account; empty means any region
 */
public record AccountRule(
        AccountId id,
        Optional<Integer> priority,
        Optional<Contract> contract,
        boolean countsTokens,
        long plainTokens,
        Set<RegionId> homes) {

    /** Copies the homes. */
    public AccountRule {
        homes = Set.copyOf(homes);
    }

    /** Returns whether the account's data may be processed in the region. */
    public boolean allows(RegionId region) {
        return homes.isEmpty() || homes.contains(region);
    }

    /**
     * Returns what a request costs of the contract.
     *
     * @param tokens the prompt's tokens and the most output tokens; absent for a plain request
     */
    public long cost(Optional<Long> tokens) {
        return countsTokens ? tokens.orElse(plainTokens) : 1;
    }
}
