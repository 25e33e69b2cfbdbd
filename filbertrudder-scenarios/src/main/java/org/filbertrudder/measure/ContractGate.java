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
import org.filbertrudder.policy.tokens.Asker;
import org.filbertrudder.policy.tokens.TokenEffect;
import org.filbertrudder.policy.tokens.TokenHolder;
import org.filbertrudder.policy.tokens.TokenSettings;

/** Lets requests into a pool only as the product's token holder grants their tokens. */
final class ContractGate {

    private static final RegionId REGION = RegionId.of("here");
    private static final InstanceId SELF = InstanceId.of("self");
    private static final long TICK_MS = 10;
    private static final long FILL_MS = 30_000;

    private final TokenHolder mHolder = new TokenHolder(REGION, TokenSettings.DEFAULT, 0);
    private final Map<Long, PoolModel.Arrival> mWaiting = new HashMap<>();
    private final List<PoolModel.Arrival> mAdmitted = new ArrayList<>();
    private final Map<AccountId, Long> mRefused = new HashMap<>();

    /** Creates a gate for accounts with the given contracts, with full bursts. */
    ContractGate(Map<AccountId, Contract> contracts) {
        List<Entity> entities = new ArrayList<>();
        entities.add(new Region(REGION, List.of(FailureDomainId.of("domain"))));
        contracts.forEach((id, contract) -> entities.add(new Account(id, contract, null, null)));
        mHolder.setConfiguration(Configuration.of(1, "start", entities), 0);
        for (int shard = 0; shard < TokenSettings.DEFAULT.shards(); shard++) {
            mHolder.acquireFirst(shard, 0);
        }
        for (long nowMs = 0; nowMs < FILL_MS; nowMs += 1_000) {
            mHolder.tick(nowMs);
        }
    }

    /** Returns the admitted arrivals in the order of their admission. */
    List<PoolModel.Arrival> admit(List<PoolModel.Arrival> arrivals, long maxWaitMs) {
        long nowMs = FILL_MS;
        long id = 0;
        for (PoolModel.Arrival arrival : arrivals) {
            while (nowMs + TICK_MS <= FILL_MS + arrival.atMs()) {
                nowMs += TICK_MS;
                apply(mHolder.tick(nowMs), nowMs);
            }
            mWaiting.put(id, arrival);
            long deadlineMs = nowMs + maxWaitMs;
            Asker asker = new Asker(SELF, id++);
            apply(
                    mHolder.reserve(asker, arrival.account(), arrival.tokens(), deadlineMs, nowMs),
                    nowMs);
        }
        mAdmitted.sort(Comparator.comparingLong(PoolModel.Arrival::admittedMs));
        return mAdmitted;
    }

    long refused(AccountId account) {
        return mRefused.getOrDefault(account, 0L);
    }

    private void apply(List<TokenEffect> effects, long nowMs) {
        for (TokenEffect effect : effects) {
            if (effect instanceof TokenEffect.Reply reply) {
                PoolModel.Arrival arrival = mWaiting.remove(reply.to().requestId());
                if (reply.reply().outcome() == ReserveOutcome.GRANTED) {
                    long admittedMs = Math.max(arrival.atMs(), nowMs - FILL_MS);
                    mAdmitted.add(arrival.admittedAt(admittedMs));
                    mHolder.settle(arrival.account(), reply.reply().reservation(), 0, nowMs);
                } else {
                    mRefused.merge(arrival.account(), 1L, Long::sum);
                }
            }
        }
    }
}
