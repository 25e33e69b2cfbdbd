package org.filbertrudder.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Contract;
import org.filbertrudder.policy.queueing.FairQueue;

/**
 * Compares first come, first served with fair queueing, without and with admission by contract,
 * while one account sends its regular load or five times as much.
 *
 * <p>The pool serves 800 tokens per second. Four accounts use 60% of it within their rates. The
 * fifth adds 12% within its rate, or 60% when it overloads the pool: 120% in total.
 */
final class FairnessExperiment implements Experiment {

    private static final int SLOTS = 8;
    private static final double TOKENS_PER_SECOND_PER_SLOT = 100;
    private static final long DURATION_MS = 600_000;
    private static final long MEAN_TOKENS_PER_REQUEST = 40;
    private static final double RATE_UTILIZATION = 0.9;
    private static final double BURST_SECONDS = 20;
    private static final String OVERLOADING_ACCOUNT = "flooder";
    private static final Map<String, Double> LOAD_BY_ACCOUNT =
            Map.of(
                    "large",
                    0.30,
                    "medium",
                    0.15,
                    "small",
                    0.10,
                    "youth",
                    0.05,
                    OVERLOADING_ACCOUNT,
                    0.12);
    private static final long[] MAX_WAITS_MS = {10_000, 2_000};

    @Override
    public Table run(long seed) {
        Table table =
                new Table(
                        "rule",
                        "order",
                        "load_factor",
                        "account",
                        "arrived",
                        "refused",
                        "served_share",
                        "first_token_p50_ms",
                        "first_token_p99_ms");
        for (long maxWaitMs : MAX_WAITS_MS) {
            for (int overloadFactor : new int[] {1, 5}) {
                List<PoolSimulation.Arrival> arrivals = createArrivals(seed, overloadFactor);
                for (Order order : Order.values()) {
                    addResults(table, new Scenario(maxWaitMs, order, overloadFactor), arrivals);
                }
            }
        }
        return table;
    }

    private static List<PoolSimulation.Arrival> createArrivals(long seed, int overloadFactor) {
        List<PoolSimulation.Arrival> arrivals = new ArrayList<>();
        LOAD_BY_ACCOUNT.forEach(
                (name, load) -> {
                    Random random = new Random(seed * 31 + name.hashCode());
                    double share = name.equals(OVERLOADING_ACCOUNT) ? load * overloadFactor : load;
                    double requestsPerMs =
                            share
                                    * SLOTS
                                    * TOKENS_PER_SECOND_PER_SLOT
                                    / MEAN_TOKENS_PER_REQUEST
                                    / 1_000;
                    double arrivalMs = 0;
                    while (arrivalMs < DURATION_MS) {
                        arrivalMs += -Math.log(1 - random.nextDouble()) / requestsPerMs;
                        long tokens = 1 + random.nextInt((int) (2 * MEAN_TOKENS_PER_REQUEST - 1));
                        arrivals.add(
                                PoolSimulation.Arrival.of(
                                        (long) arrivalMs, AccountId.of(name), tokens));
                    }
                });
        arrivals.sort(Comparator.comparingLong(PoolSimulation.Arrival::arrivalMs));
        return arrivals;
    }

    private static void addResults(
            Table table, Scenario scenario, List<PoolSimulation.Arrival> arrivals) {
        PoolSimulation.RequestQueue queue =
                scenario.order() == Order.FIRST_COME
                        ? new PoolSimulation.FirstComeFirstServedQueue()
                        : new FairRequestQueue();
        PoolSimulation pool =
                new PoolSimulation(SLOTS, TOKENS_PER_SECOND_PER_SLOT, scenario.maxWaitMs(), queue);
        ContractAdmission admission = new ContractAdmission(createContracts());
        List<PoolSimulation.Arrival> admittedArrivals =
                scenario.order() == Order.CONTRACT_AND_FAIR
                        ? admission.admit(arrivals, scenario.maxWaitMs())
                        : arrivals;
        Map<AccountId, PoolSimulation.AccountResult> results = pool.run(admittedArrivals);
        for (AccountId account : results.keySet().stream().sorted().toList()) {
            PoolSimulation.AccountResult result = results.get(account);
            List<PoolSimulation.Arrival> accountArrivals =
                    arrivals.stream().filter(arrival -> arrival.account().equals(account)).toList();
            long requestedTokens =
                    accountArrivals.stream().mapToLong(PoolSimulation.Arrival::tokens).sum();
            table.add(
                    "wait " + scenario.maxWaitMs() + " ms",
                    scenario.order(),
                    scenario.overloadFactor() + "x",
                    account,
                    accountArrivals.size(),
                    result.rejected() + admission.rejected(account),
                    (double) result.servedTokens() / requestedTokens,
                    result.firstTokenMs(50),
                    result.firstTokenMs(99));
        }
    }

    /** Creates the contracts; the regular load of an account is nine tenths of its rate. */
    private static Map<AccountId, Contract> createContracts() {
        Map<AccountId, Contract> contracts = new HashMap<>();
        LOAD_BY_ACCOUNT.forEach(
                (name, load) -> {
                    double rate = load * SLOTS * TOKENS_PER_SECOND_PER_SLOT / RATE_UTILIZATION;
                    Contract contract = Contract.of(rate, rate * BURST_SECONDS);
                    contracts.put(AccountId.of(name), contract);
                });
        return contracts;
    }

    private enum Order {
        FIRST_COME,
        FAIR,
        CONTRACT_AND_FAIR
    }

    private record Scenario(long maxWaitMs, Order order, int overloadFactor) {}

    /** Serves requests in the order of the product's fair queue. */
    private static final class FairRequestQueue implements PoolSimulation.RequestQueue {

        private final FairQueue<PoolSimulation.Arrival> mQueue = new FairQueue<>();

        @Override
        public void add(PoolSimulation.Arrival arrival, long deadlineMs) {
            mQueue.add(arrival.account(), arrival, arrival.tokens(), deadlineMs);
        }

        @Override
        public Optional<PoolSimulation.Arrival> poll() {
            return mQueue.poll();
        }

        @Override
        public List<PoolSimulation.Arrival> removeExpired(long nowMs) {
            return mQueue.removeExpired(nowMs);
        }
    }
}
