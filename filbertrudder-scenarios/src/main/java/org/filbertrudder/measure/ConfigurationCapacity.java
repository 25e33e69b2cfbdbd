package org.filbertrudder.measure;

import java.util.List;
import org.filbertrudder.model.Account;
import org.filbertrudder.model.Change;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.ConfigurationValidator;
import org.filbertrudder.model.Edit;
import org.filbertrudder.model.Json;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.peer.MessageCodec;

/** Measures the state of a configuration and the cost of a change at several sizes. */
final class ConfigurationCapacity implements Experiment {

    private static final int REGIONS = 48;
    private static final int ENDPOINTS = 10_000;
    private static final int[] ACCOUNTS = {1_500, 6_000, 12_000};
    private static final int CHANGES = 60;

    @Override
    public Table run(long seed) {
        Table table =
                new Table(
                        "accounts",
                        "heap_mb",
                        "snapshot_mb",
                        "change_bytes",
                        "apply_ms",
                        "validate_all_ms",
                        "validate_change_us");
        for (int accounts : ACCOUNTS) {
            measure(table, accounts);
        }
        return table;
    }

    private static void measure(Table table, int accounts) {
        long before = HeapGauge.usedBytes();
        Configuration configuration = LargeConfiguration.of(REGIONS, ENDPOINTS, accounts);
        double heapMb = (HeapGauge.usedBytes() - before) / 1e6;
        double snapshotMb = Json.write(configuration.entities()).length() / 1e6;
        Change sample = LargeConfiguration.change(configuration, 1, REGIONS);
        int changeBytes = MessageCodec.encode(new PeerMessage.ChangePush(List.of(sample))).length();
        Configuration next = applyMany(configuration, CHANGES / 2);
        long startNs = System.nanoTime();
        next = applyMany(next, CHANGES);
        double applyMs = (System.nanoTime() - startNs) / 1e6 / CHANGES;
        ConfigurationValidator.validate(next);
        startNs = System.nanoTime();
        ConfigurationValidator.validate(next);
        double validateMs = (System.nanoTime() - startNs) / 1e6;
        table.add(
                accounts,
                heapMb,
                snapshotMb,
                changeBytes,
                applyMs,
                validateMs,
                validateChangeUs(next));
    }

    /** Returns the mean time to check a change that sets one account, in microseconds. */
    private static double validateChangeUs(Configuration configuration) {
        List<Edit> edits = List.of(new Edit.Put(configuration.all(Account.class).get(0)));
        for (int i = 0; i < CHANGES; i++) {
            ConfigurationValidator.validateEdits(configuration, edits);
        }
        long startNs = System.nanoTime();
        for (int i = 0; i < CHANGES; i++) {
            ConfigurationValidator.validateEdits(configuration, edits);
        }
        return (System.nanoTime() - startNs) / 1e3 / CHANGES;
    }

    private static Configuration applyMany(Configuration start, int changes) {
        Configuration current = start;
        for (int i = 0; i < changes; i++) {
            current = current.apply(LargeConfiguration.change(current, i, REGIONS));
        }
        return current;
    }
}
