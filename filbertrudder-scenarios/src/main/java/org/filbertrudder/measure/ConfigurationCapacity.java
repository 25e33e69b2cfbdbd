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

/** Measures the size of configurations and the cost of a change by their number of accounts. */
final class ConfigurationCapacity implements Experiment {

    private static final int REGION_COUNT = 48;
    private static final int ENDPOINT_COUNT = 10_000;
    private static final int[] ACCOUNT_COUNTS = {1_500, 6_000, 12_000};
    private static final int CHANGE_COUNT = 60;

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
        for (int accountCount : ACCOUNT_COUNTS) {
            measure(table, accountCount);
        }
        return table;
    }

    private static void measure(Table table, int accountCount) {
        long heapBefore = HeapUsage.usedBytes();
        Configuration configuration =
                SyntheticConfiguration.of(REGION_COUNT, ENDPOINT_COUNT, accountCount);
        double heapMb = (HeapUsage.usedBytes() - heapBefore) / 1e6;
        double snapshotMb = Json.write(configuration.entities()).length() / 1e6;
        Change change = SyntheticConfiguration.contractChange(configuration, 1, REGION_COUNT);
        int changeBytes = MessageCodec.encode(new PeerMessage.ChangePush(List.of(change))).length();
        Configuration current = applyChanges(configuration, CHANGE_COUNT / 2);
        long startNs = System.nanoTime();
        current = applyChanges(current, CHANGE_COUNT);
        double applyMs = (System.nanoTime() - startNs) / 1e6 / CHANGE_COUNT;
        ConfigurationValidator.validate(current);
        startNs = System.nanoTime();
        ConfigurationValidator.validate(current);
        double validateMs = (System.nanoTime() - startNs) / 1e6;
        table.add(
                accountCount,
                heapMb,
                snapshotMb,
                changeBytes,
                applyMs,
                validateMs,
                validateChangeUs(current));
    }

    /** Returns the mean time in microseconds to validate a change of one account. */
    private static double validateChangeUs(Configuration configuration) {
        List<Edit> edits = List.of(new Edit.Put(configuration.all(Account.class).get(0)));
        for (int i = 0; i < CHANGE_COUNT; i++) {
            ConfigurationValidator.validateEdits(configuration, edits);
        }
        long startNs = System.nanoTime();
        for (int i = 0; i < CHANGE_COUNT; i++) {
            ConfigurationValidator.validateEdits(configuration, edits);
        }
        return (System.nanoTime() - startNs) / 1e3 / CHANGE_COUNT;
    }

    private static Configuration applyChanges(Configuration start, int changeCount) {
        Configuration updated = start;
        for (int i = 0; i < changeCount; i++) {
            updated =
                    updated.apply(SyntheticConfiguration.contractChange(updated, i, REGION_COUNT));
        }
        return updated;
    }
}
