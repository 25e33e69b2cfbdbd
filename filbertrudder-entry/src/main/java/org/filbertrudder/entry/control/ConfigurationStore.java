package org.filbertrudder.entry.control;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.filbertrudder.model.Change;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.Digests;
import org.filbertrudder.model.Entity;
import org.filbertrudder.model.Json;
import org.filbertrudder.store.KeyValue;
import org.filbertrudder.store.Transaction;
import org.filbertrudder.store.TransactionResult;
import org.filbertrudder.store.WatchableStore;

/**
 * Reads and writes the configuration in the platform's store: the root, the changes and the
 * snapshots, which are split into parts.
 */
final class ConfigurationStore {

    private static final int ENTITIES_PER_PART = 1_000;

    private final WatchableStore mStore;

    ConfigurationStore(WatchableStore store) {
        mStore = store;
    }

    /** Reads the root with its store revision, which the next compare-and-swap must expect. */
    Uni<VersionedRoot> readRoot() {
        return mStore.get(StoreKeys.ROOT)
                .map(
                        keyValues ->
                                keyValues.isEmpty()
                                        ? new VersionedRoot(ConfigurationRoot.EMPTY, 0)
                                        : VersionedRoot.of(keyValues.get(0)));
    }

    /** Reads the changes after a revision, oldest first. */
    Uni<List<Change>> readChangesAfter(long revision) {
        return mStore.listFrom(StoreKeys.change(revision + 1), StoreKeys.CHANGES)
                .map(keyValues -> keyValues.stream().map(ConfigurationStore::parseChange).toList());
    }

    /** Reads the change that created a revision; returns an empty list if there is none. */
    Uni<List<Change>> readChange(long revision) {
        return mStore.get(StoreKeys.change(revision))
                .map(keyValues -> keyValues.stream().map(ConfigurationStore::parseChange).toList());
    }

    private static Change parseChange(KeyValue keyValue) {
        return Json.read(keyValue.value(), Change.class);
    }

    /** Writes a change and the new root unless the root has changed since it was read. */
    Uni<TransactionResult> append(VersionedRoot base, Change change, String digest) {
        ConfigurationRoot newRoot =
                base.root().withChange(change.revision(), digest, change.changeId());
        return mStore.commit(
                Transaction.builder()
                        .ifUnchanged(StoreKeys.ROOT, base.modRevision())
                        .put(StoreKeys.ROOT, Json.write(newRoot))
                        .put(StoreKeys.change(change.revision()), Json.write(change))
                        .readOnConflict(StoreKeys.ROOT)
                        .build());
    }

    /**
     * Writes the parts of a snapshot, then refers to them in the root unless the root has changed.
     */
    Uni<TransactionResult> writeSnapshot(VersionedRoot base, Configuration configuration) {
        List<String> digests = new ArrayList<>();
        List<Uni<TransactionResult>> writes = new ArrayList<>();
        List<Entity> entities = configuration.entities();
        for (int from = 0; from < entities.size(); from += ENTITIES_PER_PART) {
            int to = Math.min(entities.size(), from + ENTITIES_PER_PART);
            String part = Json.write(new SnapshotPart(entities.subList(from, to)));
            String digest = Digests.sha256(part);
            digests.add(digest);
            writes.add(
                    mStore.commit(
                            Transaction.builder()
                                    .put(StoreKeys.SNAPSHOT_PARTS + digest, part)
                                    .build()));
        }
        ConfigurationRoot newRoot =
                base.root().withSnapshot(configuration.revision(), configuration.digest(), digests);
        Transaction rootUpdate =
                Transaction.builder()
                        .ifUnchanged(StoreKeys.ROOT, base.modRevision())
                        .put(StoreKeys.ROOT, Json.write(newRoot))
                        .build();
        return Multi.createFrom()
                .iterable(writes)
                .onItem()
                .transformToUniAndConcatenate(write -> write)
                .collect()
                .asList()
                .flatMap(ignored -> mStore.commit(rootUpdate));
    }

    /** Reads the snapshot to which the root refers. */
    Uni<Configuration> readSnapshot(ConfigurationRoot root) {
        return Multi.createFrom()
                .iterable(root.snapshotParts())
                .onItem()
                .transformToUniAndConcatenate(
                        digest -> mStore.get(StoreKeys.SNAPSHOT_PARTS + digest))
                .collect()
                .asList()
                .map(parts -> assemble(root, parts));
    }

    private static Configuration assemble(ConfigurationRoot root, List<List<KeyValue>> parts) {
        List<Entity> entities = new ArrayList<>();
        for (int i = 0; i < parts.size(); i++) {
            String digest = root.snapshotParts().get(i);
            if (parts.get(i).isEmpty()
                    || !Digests.sha256(parts.get(i).get(0).value()).equals(digest)) {
                throw new IllegalStateException(
                        "Snapshot part "
                                + digest
                                + " is missing in the store or does not match its digest.");
            }
            entities.addAll(Json.read(parts.get(i).get(0).value(), SnapshotPart.class).entities());
        }
        return Configuration.of(root.snapshotRevision(), root.snapshotDigest(), entities);
    }

    /**
     * Watches the changes in the store.
     *
     * @return an action that closes the watch
     */
    Runnable watchChanges(Consumer<Change> onChange, Runnable onClosed) {
        return mStore.watch(
                StoreKeys.CHANGES, keyValue -> onChange.accept(parseChange(keyValue)), onClosed);
    }

    /**
     * Represents the root as read from the store.
     *
     * @param root the root
     * @param modRevision the store revision of its last write; 0 if it does not exist
     */
    record VersionedRoot(ConfigurationRoot root, long modRevision) {

        static VersionedRoot of(KeyValue keyValue) {
            return new VersionedRoot(
                    Json.read(keyValue.value(), ConfigurationRoot.class), keyValue.modRevision());
        }
    }

    /**
     * Represents one part of a snapshot, as stored.
     *
     * @param entities the entities of this part
     */
    record SnapshotPart(List<Entity> entities) {}
}
