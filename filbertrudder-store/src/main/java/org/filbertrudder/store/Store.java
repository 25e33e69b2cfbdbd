package org.filbertrudder.store;

import io.smallrye.mutiny.Uni;
import java.util.List;
import org.filbertrudder.model.StoreEra;

/** Accesses the platform's key-value store; failed calls fail with a {@link StoreException}. */
public interface Store {

    /** Reads one key; the list is empty if the key does not exist. */
    Uni<List<KeyValue>> get(String key);

    /** Reads all keys with a prefix, in ascending order. */
    Uni<StoreListing> list(String prefix);

    /** Creates a lease that expires after a time in seconds unless renewed. */
    Uni<StoreLease> grantLease(long seconds);

    /**
     * Renews a lease; returns false if the lease has already expired or was granted in another era.
     */
    Uni<Boolean> renewLease(StoreLease lease);

    /** Executes a transaction atomically. */
    Uni<TransactionResult> commit(Transaction transaction);

    /** Returns the newest era of the store that a response has reported. */
    StoreEra era();

    /** Returns the number of calls so far, by kind. */
    StoreCallCounts callCounts();
}
