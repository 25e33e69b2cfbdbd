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
import org.filbertrudder.store.Store;
import org.filbertrudder.store.Transaction;
import org.filbertrudder.store.TransactionResult;

/** Keeps the configuration in the platform's store: a root, the changes and snapshots in parts. */
final class ConfigurationStore {

    private static final int ENTITIES_PER_PART = 1_000;

    private final Store mStore;

    ConfigurationStore(Store store) {
        mStore = store;
    }

    /** Reads the root with the store revision that a compare-and-swap needs. */
    Uni<VersionedRoot> readRoot() {
        return mStore.get(StoreKeys.ROOT)
                .map(
                        found ->
                                found.isEmpty()
                                        ? new VersionedRoot(ConfigurationRoot.NONE, 0)
                                        : VersionedRoot.of(found.get(0)));
    }

    /** Reads the changes after a revision, oldest first. */
    Uni<List<Change>> readChangesAfter(long revision) {
        return mStore.listFrom(StoreKeys.change(revision + 1), StoreKeys.CHANGES)
                .map(found -> found.stream().map(ConfigurationStore::change).toList());
    }

    /** Reads the change that created a revision; empty if there is none. */
    Uni<List<Change>> readChange(long revision) {
        return mStore.get(StoreKeys.change(revision))
                .map(found -> found.stream().map(ConfigurationStore::change).toList());
    }

    private static Change change(KeyValue keyValue) {
        return Json.read(keyValue.value(), Change.class);
    }

    /** Writes a change and the root after it, unless the root has changed since it was read. */
    Uni<TransactionResult> append(VersionedRoot base, Change change, String digest) {
        ConfigurationRoot next = base.root().after(change.revision(), digest, change.changeId());
        return mStore.commit(
                Transaction.builder()
                        .ifUnchanged(StoreKeys.ROOT, base.modRevision())
                        .put(StoreKeys.ROOT, Json.write(next))
                        .put(StoreKeys.change(change.revision()), Json.write(change))
                        .orRead(StoreKeys.ROOT)
                        .build());
    }

    /** Writes a snapshot in parts, then names it in the root unless the root has changed. */
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
                            Transaction.builder().put(StoreKeys.PARTS + digest, part).build()));
        }
        ConfigurationRoot next =
                base.root().withSnapshot(configuration.revision(), configuration.digest(), digests);
        Transaction root =
                Transaction.builder()
                        .ifUnchanged(StoreKeys.ROOT, base.modRevision())
                        .put(StoreKeys.ROOT, Json.write(next))
                        .build();
        return Multi.createFrom()
                .iterable(writes)
                .onItem()
                .transformToUniAndConcatenate(write -> write)
                .collect()
                .asList()
                .flatMap(done -> mStore.commit(root));
    }

    /** Reads the snapshot that the root names. */
    Uni<Configuration> readSnapshot(ConfigurationRoot root) {
        return Multi.createFrom()
                .iterable(root.snapshotParts())
                .onItem()
                .transformToUniAndConcatenate(digest -> mStore.get(StoreKeys.PARTS + digest))
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
                        "Snapshot part " + digest + " is missing or damaged in the store.");
            }
            entities.addAll(Json.read(parts.get(i).get(0).value(), SnapshotPart.class).entities());
        }
        return Configuration.of(root.snapshotRevision(), root.snapshotDigest(), entities);
    }

    /** Watches the configuration. */
    Runnable watch(Consumer<Change> onChange, Runnable onEnd) {
        return mStore.watch(
                StoreKeys.CHANGES, keyValue -> onChange.accept(change(keyValue)), onEnd);
    }

    /**
     * Holds the root as read from the store.
     *
     * @param root the root
     * @param modRevision the store revision of its last change; 0 if it does not exist
     */
    record VersionedRoot(ConfigurationRoot root, long modRevision) {

        static VersionedRoot of(KeyValue keyValue) {
            return new VersionedRoot(
                    Json.read(keyValue.value(), ConfigurationRoot.class), keyValue.modRevision());
        }
    }

    /**
     * Holds some entities of a snapshot.
     *
     * @param entities the entities
     */
    record SnapshotPart(List<Entity> entities) {}
}
