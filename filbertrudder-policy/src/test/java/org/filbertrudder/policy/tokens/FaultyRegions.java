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
 * Drives one holder in each region through a seeded schedule of requests and faults.
 *
 * <p>Messages are lost, doubled, late and reordered; regions are cut; holders pause and are
 * replaced with the evidence that the system requires.
 */
final class FaultyRegions {

    static final Contract CONTRACT = Contract.of(1_000, 4_000);
    static final AccountId ACCOUNT = AccountId.of("club");

    private static final TokenSettings SETTINGS = new TokenSettings(1, 0, 10_000, 1_000, 3_000);
    private static final int REGIONS = 3;
    private static final double[] LOADS = {0, 0, 0.1, 0.5, 10};
    private static final long STEP_MS = 10;

    private final Random mRandom;
    private final Faults mFaults;
    private final Configuration mConfiguration;
    private final TokenHolder[] mHolders = new TokenHolder[REGIONS];
    private final long[] mPausedUntilMs = new long[REGIONS];
    private final boolean[] mCut = new boolean[REGIONS];
    private final double[] mConsumed = new double[REGIONS];
    private final PriorityQueue<Delivery> mInFlight = new PriorityQueue<>();
    private final Map<Asker, Request> mWaiting = new HashMap<>();
    private final List<Running> mRunning = new ArrayList<>();
    private final ConsumptionMeter mMeter = new ConsumptionMeter();
    private long mNowMs;
    private long mSequence;
    private int mRefused;
    private int mGranted;

    /**
     * Lists the faults of a schedule.
     *
     * @param messages whether messages are lost, doubled and late
     * @param partitions whether regions are cut off
     * @param pauses whether holders pause
     * @param replacements whether holders are replaced after a failure
     */
    record Faults(boolean messages, boolean partitions, boolean pauses, boolean replacements) {

        static final Faults NONE = new Faults(false, false, false, false);
        static final Faults ALL = new Faults(true, true, true, true);
    }

    FaultyRegions(long seed, Faults faults) {
        mRandom = new Random(seed);
        mFaults = faults;
        mConfiguration = configuration();
        for (int region = 0; region < REGIONS; region++) {
            mHolders[region] = newHolder(region);
            mHolders[region].acquireFirst(0, 0);
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

    ConsumptionMeter meter() {
        return mMeter;
    }

    /** Switches loans between regions off. */
    void disableLoans() {
        for (TokenHolder holder : mHolders) {
            holder.setLendingEnabled(false);
        }
    }

    /** Cuts a region off from the others for good. */
    void cut(int region) {
        mCut[region] = true;
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

    /** Runs phases in which each region is idle, busy or flooded at random. */
    void runPhases(int phases, int tokensPerRequest) {
        for (int i = 0; i < phases; i++) {
            double[] load = new double[REGIONS];
            for (int region = 0; region < REGIONS; region++) {
                load[region] = LOADS[mRandom.nextInt(LOADS.length)];
            }
            run(500 + mRandom.nextInt(5_000), load, tokensPerRequest);
        }
    }

    /** Runs for a time with a load given as a share of the contract's rate for each region. */
    void run(long durationMs, double[] loadByRegion, int tokensPerRequest) {
        long untilMs = mNowMs + durationMs;
        while (mNowMs < untilMs) {
            mNowMs += STEP_MS;
            injectFaults();
            deliver();
            settleEnded();
            for (int region = 0; region < REGIONS; region++) {
                double perStep =
                        loadByRegion[region]
                                * CONTRACT.ratePerSecond()
                                / tokensPerRequest
                                * STEP_MS
                                / 1000;
                while (mRandom.nextDouble() < perStep) {
                    perStep -= 1;
                    request(region, tokensPerRequest);
                }
                if (active(region) && mNowMs % 50 == 0) {
                    apply(region, mHolders[region].tick(mNowMs));
                    validateIfSuspended(region);
                }
            }
        }
    }

    private boolean active(int region) {
        return mNowMs >= mPausedUntilMs[region];
    }

    private void injectFaults() {
        int region = mRandom.nextInt(REGIONS);
        if (mFaults.partitions() && mRandom.nextDouble() < 0.001) {
            mCut[region] = !mCut[region];
        }
        if (mFaults.pauses() && mRandom.nextDouble() < 0.0005) {
            mPausedUntilMs[region] = mNowMs + mRandom.nextInt(8_000);
        }
        if (mFaults.replacements() && mRandom.nextDouble() < 0.0005) {
            replace(region);
        }
    }

    /** Lets a new holder take over from one that has certainly ended. */
    private void replace(int region) {
        mHolders[region] = newHolder(region);
        mHolders[region].acquireAfterFailure(0, mNowMs);
        mPausedUntilMs[region] = 0;
        mWaiting.keySet().removeIf(asker -> asker.instance().equals(instance(region)));
        mRunning.removeIf(running -> running.region() == region);
    }

    /** Stands in for the check in the store: no other instance has taken the shard. */
    private void validateIfSuspended(int region) {
        if (mHolders[region].suspended()) {
            mHolders[region].validated(mNowMs);
        }
    }

    private static InstanceId instance(int region) {
        return InstanceId.of("instance-" + region);
    }

    private void request(int region, int tokens) {
        if (!active(region)) {
            return;
        }
        Asker asker = new Asker(instance(region), mSequence++);
        int size = 1 + mRandom.nextInt(2 * tokens - 1);
        mWaiting.put(asker, new Request(region, size));
        long deadlineMs = mNowMs + 5_000;
        apply(region, mHolders[region].reserve(asker, ACCOUNT, size, deadlineMs, mNowMs));
    }

    private void apply(int region, List<TokenEffect> effects) {
        for (TokenEffect effect : effects) {
            if (effect instanceof TokenEffect.Reply reply) {
                answer(reply);
            } else if (effect instanceof TokenEffect.AskLoan loan) {
                int lender = Integer.parseInt(loan.region().value().substring(7));
                transmit(region, lender, loan.request());
            }
        }
    }

    private void answer(TokenEffect.Reply reply) {
        Request request = mWaiting.remove(reply.to());
        if (request == null) {
            return;
        }
        if (reply.reply().outcome() != ReserveOutcome.GRANTED) {
            mRefused++;
            return;
        }
        mGranted++;
        int used = mRandom.nextBoolean() ? 1 : request.tokens();
        mMeter.add(mNowMs, used);
        mConsumed[request.region()] += used;
        mRunning.add(
                new Running(
                        request.region(),
                        reply.reply().reservation(),
                        request.tokens() - used,
                        mNowMs + mRandom.nextInt(8_000)));
    }

    private void settleEnded() {
        for (Running running : List.copyOf(mRunning)) {
            if (running.endsMs() <= mNowMs && active(running.region())) {
                mRunning.remove(running);
                apply(
                        running.region(),
                        mHolders[running.region()].settle(
                                ACCOUNT, running.reservation(), running.unused(), mNowMs));
            }
        }
    }

    private void transmit(int from, int to, PeerMessage message) {
        if (mCut[from] || mCut[to]) {
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

    private void deliver() {
        while (!mInFlight.isEmpty() && mInFlight.peek().atMs() <= mNowMs) {
            Delivery delivery = mInFlight.poll();
            if (!active(delivery.to())) {
                mInFlight.add(delivery.later(mPausedUntilMs[delivery.to()]));
                continue;
            }
            TokenHolder holder = mHolders[delivery.to()];
            if (delivery.message() instanceof PeerMessage.LoanRequest request) {
                transmit(delivery.to(), delivery.from(), holder.lend(request, mNowMs));
            } else if (delivery.message() instanceof PeerMessage.LoanGrant grant) {
                apply(delivery.to(), holder.loanGranted(grant, mNowMs));
            }
        }
    }

    private record Request(int region, int tokens) {}

    private record Running(int region, long reservation, long unused, long endsMs) {}

    private record Delivery(long atMs, long sequence, int from, int to, PeerMessage message)
            implements Comparable<Delivery> {

        Delivery later(long newAtMs) {
            return new Delivery(newAtMs, sequence, from, to, message);
        }

        @Override
        public int compareTo(Delivery other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
