package org.filbertrudder.policy.tokens;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.filbertrudder.model.Account;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Change;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.Contract;
import org.filbertrudder.model.Edit;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.Region;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.ReserveOutcome;

/**
 * Simulates one token holder in each region under a seeded schedule of requests and faults.
 *
 * <p>Messages are lost, duplicated, delayed and reordered; regions are partitioned; holders pause
 * and are replaced after the failure evidence that the system requires.
 */
final class FaultyRegionSimulation {

    static final Contract CONTRACT = Contract.of(1_000, 4_000);
    static final AccountId ACCOUNT = AccountId.of("club");

    private static final TokenSettings SETTINGS = new TokenSettings(1, 0, 10_000, 1_000, 3_000);
    private static final int REGIONS = 3;
    private static final double[] LOAD_LEVELS = {0, 0, 0.1, 0.5, 10};
    private static final long STEP_MS = 10;

    private final Random mRandom;
    private final Faults mFaults;
    private final Configuration mConfiguration;
    private final TokenHolder[] mHolders = new TokenHolder[REGIONS];
    private final long[] mPausedUntilMs = new long[REGIONS];
    private final boolean[] mPartitioned = new boolean[REGIONS];
    private final double[] mConsumed = new double[REGIONS];
    private final PriorityQueue<Delivery> mInFlight = new PriorityQueue<>();
    private final Map<TokenRequestKey, Request> mPendingRequests = new HashMap<>();
    private final List<RunningRequest> mRunningRequests = new ArrayList<>();
    private final ConsumptionRecorder mConsumption = new ConsumptionRecorder();
    private long mNowMs;
    private long mSequence;
    private int mRefused;
    private int mGranted;

    /**
     * Kinds of faults that a schedule injects.
     *
     * @param messages whether messages are lost, duplicated and delayed
     * @param partitions whether regions are partitioned from the others
     * @param pauses whether holders pause
     * @param replacements whether holders are replaced after a failure
     */
    record Faults(boolean messages, boolean partitions, boolean pauses, boolean replacements) {

        static final Faults NONE = new Faults(false, false, false, false);
        static final Faults ALL = new Faults(true, true, true, true);
    }

    FaultyRegionSimulation(long seed, Faults faults) {
        mRandom = new Random(seed);
        mFaults = faults;
        mConfiguration = configuration();
        for (int region = 0; region < REGIONS; region++) {
            mHolders[region] = newHolder(region);
            mHolders[region].acquireUnowned(0, 0);
        }
    }

    private static Configuration configuration() {
        List<Edit> edits = new ArrayList<>();
        for (int i = 0; i < REGIONS; i++) {
            edits.add(
                    new Edit.Put(
                            new Region(region(i), List.of(FailureDomainId.of("domain-" + i)))));
        }
        edits.add(new Edit.Put(new Account(ACCOUNT, CONTRACT, Set.of(), Map.of())));
        return Configuration.EMPTY.apply(new Change(1, "change", "test", 0, "", edits));
    }

    private static RegionId region(int number) {
        return RegionId.of("region-" + number);
    }

    private TokenHolder newHolder(int region) {
        TokenHolder holder = new TokenHolder(region(region), SETTINGS, mNowMs);
        holder.setConfiguration(mConfiguration, mNowMs);
        return holder;
    }

    ConsumptionRecorder consumption() {
        return mConsumption;
    }

    /** Disables loans between regions. */
    void disableLoans() {
        for (TokenHolder holder : mHolders) {
            holder.setBorrowingEnabled(false);
        }
    }

    /** Partitions a region from the others permanently. */
    void partition(int region) {
        mPartitioned[region] = true;
    }

    /** Returns the tokens consumed by requests of a region. */
    double consumedIn(int region) {
        return mConsumed[region];
    }

    int refused() {
        return mRefused;
    }

    int granted() {
        return mGranted;
    }

    /**
     * Runs phases that each choose a random load for every region, from none to far above the rate.
     */
    void runPhases(int phases, int tokensPerRequest) {
        for (int i = 0; i < phases; i++) {
            double[] load = new double[REGIONS];
            for (int region = 0; region < REGIONS; region++) {
                load[region] = LOAD_LEVELS[mRandom.nextInt(LOAD_LEVELS.length)];
            }
            run(500 + mRandom.nextInt(5_000), load, tokensPerRequest);
        }
    }

    /** Runs for a time; each region's load is a multiple of the contract's rate. */
    void run(long durationMs, double[] loadByRegion, int tokensPerRequest) {
        long untilMs = mNowMs + durationMs;
        while (mNowMs < untilMs) {
            mNowMs += STEP_MS;
            injectFaults();
            deliverMessages();
            settleFinishedRequests();
            for (int region = 0; region < REGIONS; region++) {
                double requestsPerStep =
                        loadByRegion[region]
                                * CONTRACT.ratePerSecond()
                                / tokensPerRequest
                                * STEP_MS
                                / 1000;
                while (mRandom.nextDouble() < requestsPerStep) {
                    requestsPerStep -= 1;
                    sendRequest(region, tokensPerRequest);
                }
                if (isRunning(region) && mNowMs % 50 == 0) {
                    apply(region, mHolders[region].tick(mNowMs));
                    validateIfSuspended(region);
                }
            }
        }
    }

    private boolean isRunning(int region) {
        return mNowMs >= mPausedUntilMs[region];
    }

    private void injectFaults() {
        int region = mRandom.nextInt(REGIONS);
        if (mFaults.partitions() && mRandom.nextDouble() < 0.001) {
            mPartitioned[region] = !mPartitioned[region];
        }
        if (mFaults.pauses() && mRandom.nextDouble() < 0.0005) {
            mPausedUntilMs[region] = mNowMs + mRandom.nextInt(8_000);
        }
        if (mFaults.replacements() && mRandom.nextDouble() < 0.0005) {
            replaceHolder(region);
        }
    }

    /**
     * Replaces the holder of a region by a new one, as after the confirmed failure of its process.
     */
    private void replaceHolder(int region) {
        mHolders[region] = newHolder(region);
        mHolders[region].acquireAfterFailure(0, mNowMs);
        mPausedUntilMs[region] = 0;
        mPendingRequests
                .keySet()
                .removeIf(requestKey -> requestKey.instance().equals(instance(region)));
        mRunningRequests.removeIf(request -> request.region() == region);
    }

    /** Resumes a suspended holder, as if the store had confirmed that it still owns the shard. */
    private void validateIfSuspended(int region) {
        if (mHolders[region].isSuspended()) {
            mHolders[region].resumeAfterValidation(mNowMs);
        }
    }

    private static InstanceId instance(int region) {
        return InstanceId.of("instance-" + region);
    }

    private void sendRequest(int region, int tokens) {
        if (!isRunning(region)) {
            return;
        }
        TokenRequestKey requestKey = new TokenRequestKey(instance(region), mSequence++);
        int size = 1 + mRandom.nextInt(2 * tokens - 1);
        mPendingRequests.put(requestKey, new Request(region, size));
        long deadlineMs = mNowMs + 5_000;
        apply(region, mHolders[region].reserve(requestKey, ACCOUNT, size, deadlineMs, mNowMs));
    }

    private void apply(int region, List<TokenEffect> effects) {
        for (TokenEffect effect : effects) {
            if (effect instanceof TokenEffect.Reply reply) {
                handleReply(reply);
            } else if (effect instanceof TokenEffect.RequestLoanFromRegion loan) {
                int lender = Integer.parseInt(loan.region().value().substring(7));
                sendMessage(region, lender, loan.request());
            }
        }
    }

    private void handleReply(TokenEffect.Reply reply) {
        Request request = mPendingRequests.remove(reply.requestKey());
        if (request == null) {
            return;
        }
        if (reply.reply().outcome() != ReserveOutcome.GRANTED) {
            mRefused++;
            return;
        }
        mGranted++;
        int used = mRandom.nextBoolean() ? 1 : request.tokens();
        mConsumption.add(mNowMs, used);
        mConsumed[request.region()] += used;
        mRunningRequests.add(
                new RunningRequest(
                        request.region(),
                        reply.reply().reservation(),
                        request.tokens() - used,
                        mNowMs + mRandom.nextInt(8_000)));
    }

    private void settleFinishedRequests() {
        for (RunningRequest request : List.copyOf(mRunningRequests)) {
            if (request.finishesAtMs() <= mNowMs && isRunning(request.region())) {
                mRunningRequests.remove(request);
                apply(
                        request.region(),
                        mHolders[request.region()].settle(
                                ACCOUNT, request.reservation(), request.unusedTokens(), mNowMs));
            }
        }
    }

    private void sendMessage(int from, int to, PeerMessage message) {
        if (mPartitioned[from] || mPartitioned[to]) {
            return;
        }
        if (mFaults.messages() && mRandom.nextDouble() < 0.1) {
            return;
        }
        int copies = mFaults.messages() && mRandom.nextDouble() < 0.1 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long delayMs = 80;
            if (mFaults.messages() && mRandom.nextDouble() < 0.1) {
                delayMs = mRandom.nextInt(15_000);
            }
            mInFlight.add(new Delivery(mNowMs + delayMs, mSequence++, from, to, message));
        }
    }

    private void deliverMessages() {
        while (!mInFlight.isEmpty() && mInFlight.peek().atMs() <= mNowMs) {
            Delivery delivery = mInFlight.poll();
            if (!isRunning(delivery.to())) {
                mInFlight.add(delivery.delayedUntil(mPausedUntilMs[delivery.to()]));
                continue;
            }
            TokenHolder holder = mHolders[delivery.to()];
            if (delivery.message() instanceof PeerMessage.LoanRequest request) {
                sendMessage(delivery.to(), delivery.from(), holder.lend(request, mNowMs));
            } else if (delivery.message() instanceof PeerMessage.LoanGrant grant) {
                apply(delivery.to(), holder.addGrantedLoan(grant, mNowMs));
            }
        }
    }

    private record Request(int region, int tokens) {}

    private record RunningRequest(
            int region, long reservation, long unusedTokens, long finishesAtMs) {}

    private record Delivery(long atMs, long sequence, int from, int to, PeerMessage message)
            implements Comparable<Delivery> {

        Delivery delayedUntil(long deliveryMs) {
            return new Delivery(deliveryMs, sequence, from, to, message);
        }

        @Override
        public int compareTo(Delivery other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
