package org.filbertrudder.measure;

import java.util.List;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.policy.tokens.TokenEffect;
import org.filbertrudder.policy.tokens.TokenHolder;
import org.filbertrudder.policy.tokens.TokenRequestKey;
import org.filbertrudder.policy.tokens.TokenSettings;

/** Measures the memory of a token holder and the time of its reservations and ticks. */
final class TokenCapacity implements Experiment {

    private static final int[] ACCOUNT_COUNTS = {1_000, 4_000, 12_000};
    private static final int RESERVATION_COUNT = 200_000;
    private static final int TICK_COUNT = 200;
    private static final InstanceId SELF = InstanceId.of("self");

    @Override
    public Table run(long seed) {
        Table table =
                new Table("accounts_held", "bytes_per_account", "reserve_us", "tick_us", "granted");
        for (int accountCount : ACCOUNT_COUNTS) {
            measure(table, accountCount);
        }
        return table;
    }

    private static void measure(Table table, int accountCount) {
        Configuration configuration = SyntheticConfiguration.of(2, 100, accountCount);
        long heapBefore = HeapUsage.usedBytes();
        TokenHolder holder =
                new TokenHolder(SyntheticConfiguration.region(0), TokenSettings.DEFAULT, 0);
        holder.setConfiguration(configuration, 0);
        for (int shard = 0; shard < TokenSettings.DEFAULT.shards(); shard++) {
            holder.acquireUnowned(shard, 0);
        }
        double bytesPerAccount = (double) (HeapUsage.usedBytes() - heapBefore) / accountCount;
        long nowMs = 1_000;
        holder.tick(nowMs);
        long granted = reserveAndSettle(holder, accountCount, nowMs);
        long startNs = System.nanoTime();
        granted += reserveAndSettle(holder, accountCount, nowMs);
        double reserveUs = (System.nanoTime() - startNs) / 1e3 / RESERVATION_COUNT;
        startNs = System.nanoTime();
        for (int i = 0; i < TICK_COUNT; i++) {
            nowMs += 50;
            holder.tick(nowMs);
        }
        double tickUs = (System.nanoTime() - startNs) / 1e3 / TICK_COUNT;
        table.add(accountCount, bytesPerAccount, reserveUs, tickUs, granted);
    }

    private static long reserveAndSettle(TokenHolder holder, int accountCount, long nowMs) {
        long granted = 0;
        for (int i = 0; i < RESERVATION_COUNT; i++) {
            AccountId account = SyntheticConfiguration.account(i % accountCount);
            List<TokenEffect> effects =
                    holder.reserve(new TokenRequestKey(SELF, i), account, 1, nowMs, nowMs);
            for (TokenEffect effect : effects) {
                if (effect instanceof TokenEffect.Reply reply && reply.reply().reservation() != 0) {
                    granted++;
                    holder.settle(account, reply.reply().reservation(), 1, nowMs);
                }
            }
        }
        return granted;
    }
}
