package org.filbertrudder.measure;

import java.util.List;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.policy.tokens.Asker;
import org.filbertrudder.policy.tokens.TokenEffect;
import org.filbertrudder.policy.tokens.TokenHolder;
import org.filbertrudder.policy.tokens.TokenSettings;

/** Measures the state of a token holder and the time of its decisions. */
final class TokenCapacity implements Experiment {

    private static final int[] ACCOUNTS = {1_000, 4_000, 12_000};
    private static final int RESERVATIONS = 200_000;
    private static final int TICKS = 200;
    private static final InstanceId SELF = InstanceId.of("self");

    @Override
    public Table run(long seed) {
        Table table =
                new Table("accounts_held", "bytes_per_account", "reserve_us", "tick_us", "granted");
        for (int accounts : ACCOUNTS) {
            measure(table, accounts);
        }
        return table;
    }

    private static void measure(Table table, int accounts) {
        Configuration configuration = LargeConfiguration.of(2, 100, accounts);
        long before = HeapGauge.usedBytes();
        TokenHolder holder =
                new TokenHolder(LargeConfiguration.region(0), TokenSettings.DEFAULT, 0);
        holder.setConfiguration(configuration, 0);
        for (int shard = 0; shard < TokenSettings.DEFAULT.shards(); shard++) {
            holder.acquireFirst(shard, 0);
        }
        double bytes = (double) (HeapGauge.usedBytes() - before) / accounts;
        long nowMs = 1_000;
        holder.tick(nowMs);
        long granted = reserveMany(holder, accounts, nowMs);
        long startNs = System.nanoTime();
        granted += reserveMany(holder, accounts, nowMs);
        double reserveUs = (System.nanoTime() - startNs) / 1e3 / RESERVATIONS;
        startNs = System.nanoTime();
        for (int i = 0; i < TICKS; i++) {
            nowMs += 50;
            holder.tick(nowMs);
        }
        double tickUs = (System.nanoTime() - startNs) / 1e3 / TICKS;
        table.add(accounts, bytes, reserveUs, tickUs, granted);
    }

    private static long reserveMany(TokenHolder holder, int accounts, long nowMs) {
        long granted = 0;
        for (int i = 0; i < RESERVATIONS; i++) {
            AccountId account = LargeConfiguration.account(i % accounts);
            List<TokenEffect> effects =
                    holder.reserve(new Asker(SELF, i), account, 1, nowMs, nowMs);
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
