package org.filbertrudder.policy.queueing;

import org.filbertrudder.model.Contract;

/** Computes the priority that engines apply to requests: smaller contracts are served first. */
public final class EnginePriority {

    /** The priority of requests without a contract; engines serve lower values first. */
    public static final int LOWEST = 63;

    private EnginePriority() {}

    /**
     * Returns the binary logarithm of the contract's rate, rounded down, within 0 to {@link
     * #LOWEST}.
     */
    public static int of(Contract contract) {
        int doublings = (int) Math.floor(Math.log(contract.ratePerSecond()) / Math.log(2));
        return Math.max(0, Math.min(LOWEST, doublings));
    }
}
