package org.filbertrudder.store;

import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.function.Consumer;

/** Gives access to the platform's key-value store; failures are {@link StoreException}s. */
public interface Store {

    /** Reads one key; the list is empty if it does not exist. */
    Uni<List<KeyValue>> get(String key);

    /** Reads all keys with a prefix, in order. */
    Uni<List<KeyValue>> list(String prefix);

    /** Reads the keys with a prefix from the given key on, in order. */
    Uni<List<KeyValue>> listFrom(String fromKey, String prefix);

    /** Grants a lease that ends after a time in seconds; returns its id. */
    Uni<Long> grantLease(long seconds);

    /** Renews a lease; returns whether it had not ended. */
    Uni<Boolean> renewLease(long lease);

    /** Ends a lease and all keys under it. */
    Uni<Void> revokeLease(long lease);

    /** Runs a transaction. */
    Uni<TransactionResult> commit(Transaction transaction);

    /**
     * Watches all keys with a prefix until closed; reports the end of the watch as well.
     *
     * @param prefix the prefix
     * @param onPut called with each written value
     * @param onEnd called once when the watch has ended for whatever reason
     * @return closes the watch
     */
    Runnable watch(String prefix, Consumer<KeyValue> onPut, Runnable onEnd);

    /** Returns the number of calls made so far, by kind. */
    StoreCalls calls();
}
