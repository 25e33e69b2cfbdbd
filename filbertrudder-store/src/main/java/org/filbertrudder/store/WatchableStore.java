package org.filbertrudder.store;

import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.function.Consumer;

/** Accesses a store that can be watched for writes and whose leases can be revoked. */
public interface WatchableStore extends Store {

    /** Reads the keys with a prefix that are equal to or greater than a key, in ascending order. */
    Uni<List<KeyValue>> listFrom(String fromKey, String prefix);

    /** Revokes a lease; the store deletes all keys attached to the lease. */
    Uni<Void> revokeLease(StoreLease lease);

    /**
     * Watches the keys with a prefix until closed, and reports when the watch ends for another
     * reason.
     *
     * @param prefix the prefix of the watched keys
     * @param onPut called with each key that is written; deletions are not reported
     * @param onEnd called once when the watch ends, unless the returned action ended the watch
     * @return an action that closes the watch
     */
    Runnable watch(String prefix, Consumer<KeyValue> onPut, Runnable onEnd);
}
