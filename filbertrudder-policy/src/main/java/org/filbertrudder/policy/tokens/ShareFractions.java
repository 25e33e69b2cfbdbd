package org.filbertrudder.policy.tokens;

import java.util.List;
import org.filbertrudder.model.Account;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.RegionId;

/** Divides a client account's contract among the regions. */
public final class ShareFractions {

    private ShareFractions() {}

    /** Returns the fraction of the contract that the region holds before loans, from 0 to 1. */
    public static double of(Account account, RegionId region, Configuration configuration) {
        if (!account.shares().isEmpty()) {
            return account.shares().getOrDefault(region, 0.0);
        }
        List<RegionId> regions = regionsOf(account, configuration);
        return regions.contains(region) ? 1.0 / regions.size() : 0;
    }

    /** Returns the regions that hold a share of the account's contract. */
    public static List<RegionId> regionsOf(Account account, Configuration configuration) {
        if (!account.shares().isEmpty()) {
            return account.shares().keySet().stream()
                    .filter(region -> account.shares().get(region) > 0)
                    .sorted()
                    .toList();
        }
        return configuration.regionIds().stream().filter(account::allows).toList();
    }
}
