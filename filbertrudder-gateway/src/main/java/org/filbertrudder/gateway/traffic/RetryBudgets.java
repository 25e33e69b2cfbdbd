package org.filbertrudder.gateway.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.filbertrudder.gateway.BoundSettings;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.policy.retry.RetryBudget;

/** Limits this instance's retries for each service to its share of the system-wide bound. */
final class RetryBudgets {

    /**
     * The fraction of the retry bounds that the budget uses. The budget decays over time while the
     * bound applies to a sliding window, so nearly twice this fraction can fall into one window.
     */
    private static final double BUDGET_FRACTION = 0.5;

    private final Supplier<BoundSettings> mBounds;
    private final Map<ServiceId, RetryBudget> mBudgets = new HashMap<>();

    RetryBudgets(Supplier<BoundSettings> bounds) {
        mBounds = bounds;
    }

    void recordRequest(ServiceId service) {
        budget(service).recordRequest(Clocks.steadyMs());
    }

    boolean tryAcquireRetry(ServiceId service, int instances) {
        RetryBudget budget = budget(service);
        budget.setMinRetries(minRetries(instances));
        return budget.tryAcquireRetry(retryShare(), Clocks.steadyMs());
    }

    boolean allowsRetry(ServiceId service, int instances) {
        RetryBudget budget = budget(service);
        budget.setMinRetries(minRetries(instances));
        return budget.allowsRetry(retryShare(), Clocks.steadyMs());
    }

    private double retryShare() {
        return mBounds.get().retryShare() * BUDGET_FRACTION;
    }

    private double minRetries(int instances) {
        return mBounds.get().retryExtra() * BUDGET_FRACTION / Math.max(1, instances);
    }

    private RetryBudget budget(ServiceId service) {
        return mBudgets.computeIfAbsent(service, key -> new RetryBudget());
    }
}
