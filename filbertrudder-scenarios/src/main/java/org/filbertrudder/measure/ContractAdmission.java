package org.filbertrudder.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.filbertrudder.model.Account;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.Contract;
import org.filbertrudder.model.Entity;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.Region;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.ReserveOutcome;
import org.filbertrudder.policy.tokens.TokenEffect;
import org.filbertrudder.policy.tokens.TokenHolder;
import org.filbertrudder.policy.tokens.TokenRequestKey;
import org.filbertrudder.policy.tokens.TokenSettings;

/** Admits requests to a simulated pool when the product's token holder grants their tokens. */
final class ContractAdmission {

    private static final RegionId REGION = RegionId.of("here");
    private static final InstanceId SELF = InstanceId.of("self");
    private static final long TICK_MS = 10;
    private static final long BURST_FILL_MS = 30_000;

    private final TokenHolder mHolder = new TokenHolder(REGION, TokenSettings.DEFAULT, 0);
    private final Map<Long, PoolSimulation.Arrival> mPendingByRequestId = new HashMap<>();
    private final List<PoolSimulation.Arrival> mAdmitted = new ArrayList<>();
    private final Map<AccountId, Long> mRejected = new HashMap<>();

    /** Creates the admission for accounts with the given contracts and full token buckets. */
    ContractAdmission(Map<AccountId, Contract> contracts) {
        List<Entity> entities = new ArrayList<>();
        entities.add(new Region(REGION, List.of(FailureDomainId.of("domain"))));
        contracts.forEach(
                (account, contract) -> entities.add(new Account(account, contract, null, null)));
        mHolder.setConfiguration(Configuration.of(1, "start", entities), 0);
        for (int shard = 0; shard < TokenSettings.DEFAULT.shards(); shard++) {
            mHolder.acquireUnowned(shard, 0);
        }
        for (long nowMs = 0; nowMs < BURST_FILL_MS; nowMs += 1_000) {
            mHolder.tick(nowMs);
        }
    }

    /** Returns the arrivals that are granted their tokens in time, in the order of admission. */
    List<PoolSimulation.Arrival> admit(List<PoolSimulation.Arrival> arrivals, long maxWaitMs) {
        long nowMs = BURST_FILL_MS;
        long requestId = 0;
        for (PoolSimulation.Arrival arrival : arrivals) {
            while (nowMs + TICK_MS <= BURST_FILL_MS + arrival.arrivalMs()) {
                nowMs += TICK_MS;
                applyEffects(mHolder.tick(nowMs), nowMs);
            }
            mPendingByRequestId.put(requestId, arrival);
            long deadlineMs = nowMs + maxWaitMs;
            TokenRequestKey requestKey = new TokenRequestKey(SELF, requestId++);
            applyEffects(
                    mHolder.reserve(
                            requestKey, arrival.account(), arrival.tokens(), deadlineMs, nowMs),
                    nowMs);
        }
        mAdmitted.sort(Comparator.comparingLong(PoolSimulation.Arrival::admittedMs));
        return mAdmitted;
    }

    long rejected(AccountId account) {
        return mRejected.getOrDefault(account, 0L);
    }

    private void applyEffects(List<TokenEffect> effects, long nowMs) {
        for (TokenEffect effect : effects) {
            if (effect instanceof TokenEffect.Reply reply) {
                PoolSimulation.Arrival arrival =
                        mPendingByRequestId.remove(reply.requestKey().requestId());
                if (reply.reply().outcome() == ReserveOutcome.GRANTED) {
                    long admittedMs = Math.max(arrival.arrivalMs(), nowMs - BURST_FILL_MS);
                    mAdmitted.add(arrival.admittedAt(admittedMs));
                    mHolder.settle(arrival.account(), reply.reply().reservation(), 0, nowMs);
                } else {
                    mRejected.merge(arrival.account(), 1L, Long::sum);
                }
            }
        }
    }
}
