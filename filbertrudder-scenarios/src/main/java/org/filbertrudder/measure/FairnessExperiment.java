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
 * Compares fair queueing with first come, first served while one account sends five times its rate.
 *
 * <p>The pool serves 800 tokens a second. Four accounts use 60% of it within their rates. The fifth
 * adds 12% within its rate, or 60% when it floods: 120% in all.
 */
final class FairnessExperiment implements Experiment {

    private static final int SLOTS = 8;
    private static final double TOKENS_PER_SECOND = 100;
    private static final long DURATION_MS = 600_000;
    private static final long TOKENS_PER_REQUEST = 40;
    private static final double RATE_IN_USE = 0.9;
    private static final double BURST_SECONDS = 20;
    private static final String FLOODER = "flooder";
    private static final Map<String, Double> LOADS =
            Map.of("large", 0.30, "medium", 0.15, "small", 0.10, "youth", 0.05, FLOODER, 0.12);
    private static final long[] MAX_WAITS_MS = {10_000, 2_000};

    @Override
    public Table run(long seed) {
        Table table =
                new Table(
                        "rule",
                        "order",
                        "flood",
                        "account",
                        "arrived",
                        "refused",
                        "served_share",
                        "first_token_p50_ms",
                        "first_token_p99_ms");
        for (long maxWaitMs : MAX_WAITS_MS) {
            for (int flood : new int[] {1, 5}) {
                List<PoolModel.Arrival> arrivals = arrivals(seed, flood);
                for (Order order : Order.values()) {
                    add(table, new Case(maxWaitMs, order, flood), arrivals);
                }
            }
        }
        return table;
    }

    private static List<PoolModel.Arrival> arrivals(long seed, int flood) {
        List<PoolModel.Arrival> arrivals = new ArrayList<>();
        LOADS.forEach(
                (name, load) -> {
                    Random random = new Random(seed * 31 + name.hashCode());
                    double share = name.equals(FLOODER) ? load * flood : load;
                    double perMs = share * SLOTS * TOKENS_PER_SECOND / TOKENS_PER_REQUEST / 1_000;
                    double atMs = 0;
                    while (atMs < DURATION_MS) {
                        atMs += -Math.log(1 - random.nextDouble()) / perMs;
                        long tokens = 1 + random.nextInt((int) (2 * TOKENS_PER_REQUEST - 1));
                        arrivals.add(PoolModel.Arrival.of((long) atMs, AccountId.of(name), tokens));
                    }
                });
        arrivals.sort(Comparator.comparingLong(PoolModel.Arrival::atMs));
        return arrivals;
    }

    private static void add(Table table, Case which, List<PoolModel.Arrival> arrivals) {
        PoolModel.WaitingLine line =
                which.order() == Order.FIRST_COME
                        ? new PoolModel.FirstComeFirstServed()
                        : new FairLine();
        PoolModel pool = new PoolModel(SLOTS, TOKENS_PER_SECOND, which.maxWaitMs(), line);
        ContractGate gate = new ContractGate(contracts());
        List<PoolModel.Arrival> admitted =
                which.order() == Order.CONTRACT_AND_FAIR
                        ? gate.admit(arrivals, which.maxWaitMs())
                        : arrivals;
        Map<AccountId, PoolModel.Outcome> outcomes = pool.run(admitted);
        for (AccountId account : outcomes.keySet().stream().sorted().toList()) {
            PoolModel.Outcome outcome = outcomes.get(account);
            List<PoolModel.Arrival> own =
                    arrivals.stream().filter(each -> each.account().equals(account)).toList();
            long asked = own.stream().mapToLong(PoolModel.Arrival::tokens).sum();
            table.add(
                    "wait " + which.maxWaitMs() + " ms",
                    which.order(),
                    which.flood() + "x",
                    account,
                    own.size(),
                    outcome.refused() + gate.refused(account),
                    (double) outcome.servedTokens() / asked,
                    outcome.firstTokenMs(50),
                    outcome.firstTokenMs(99));
        }
    }

    /** Gives each account a contract that its regular load uses to nine tenths. */
    private static Map<AccountId, Contract> contracts() {
        Map<AccountId, Contract> contracts = new HashMap<>();
        LOADS.forEach(
                (name, load) -> {
                    double rate = load * SLOTS * TOKENS_PER_SECOND / RATE_IN_USE;
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

    private record Case(long maxWaitMs, Order order, int flood) {}

    /** Serves by the product's queue. */
    private static final class FairLine implements PoolModel.WaitingLine {

        private final FairQueue<PoolModel.Arrival> mQueue = new FairQueue<>();

        @Override
        public void add(PoolModel.Arrival arrival, long deadlineMs) {
            mQueue.add(arrival.account(), arrival, arrival.tokens(), deadlineMs);
        }

        @Override
        public Optional<PoolModel.Arrival> poll() {
            return mQueue.poll();
        }

        @Override
        public List<PoolModel.Arrival> removeExpired(long nowMs) {
            return mQueue.removeExpired(nowMs);
        }
    }
}
