package org.filbertrudder.policy.queueing;

import org.filbertrudder.model.Contract;

/** Gives requests the priority that engines honour: the smaller the contract, the earlier. */
public final class EnginePriority {

    /** The priority of requests without a contract; engines serve lower numbers first. */
    public static final int LOWEST = 63;

    private EnginePriority() {}

    /** Returns the priority, from 0 for the smallest contracts, one more for each doubling. */
    public static int of(Contract contract) {
        int doublings = (int) Math.floor(Math.log(contract.ratePerSecond()) / Math.log(2));
        return Math.max(0, Math.min(LOWEST, doublings));
    }
}
