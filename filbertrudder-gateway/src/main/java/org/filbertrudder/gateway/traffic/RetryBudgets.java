package org.filbertrudder.gateway.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.filbertrudder.gateway.BoundSettings;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.policy.retry.RetryBudget;

/** Limits the retries that each service gets from this instance to its part of the whole. */
final class RetryBudgets {

    /**
     * Part of the fixed allowance that instances use; the budget fades while the bound is on a
     * sliding window, so nearly twice the part can fall into one window.
     */
    private static final double BUDGET_FRACTION = 0.5;

    private final Supplier<BoundSettings> mBounds;
    private final Map<ServiceId, RetryBudget> mBudgets = new HashMap<>();

    RetryBudgets(Supplier<BoundSettings> bounds) {
        mBounds = bounds;
    }

    void noteRequest(ServiceId service) {
        budget(service).noteRequest(Clocks.steadyMs());
    }

    boolean tryRetry(ServiceId service, int instances) {
        RetryBudget budget = budget(service);
        budget.setAlwaysPossible(fixedAllowance(instances));
        return budget.tryRetry(retryShare(), Clocks.steadyMs());
    }

    boolean hasRoom(ServiceId service, int instances) {
        RetryBudget budget = budget(service);
        budget.setAlwaysPossible(fixedAllowance(instances));
        return budget.hasRoom(retryShare(), Clocks.steadyMs());
    }

    private double retryShare() {
        return mBounds.get().retryShare() * BUDGET_FRACTION;
    }

    private double fixedAllowance(int instances) {
        return mBounds.get().retryExtra() * BUDGET_FRACTION / Math.max(1, instances);
    }

    private RetryBudget budget(ServiceId service) {
        return mBudgets.computeIfAbsent(service, key -> new RetryBudget());
    }
}
