package org.filbertrudder.store;

import java.util.ArrayList;
import java.util.List;

/**
 * Describes writes that take effect atomically if all compared keys are unchanged.
 *
 * @param compares the conditions on the current keys
 * @param puts the values to write if all conditions are met
 * @param deletes the keys to delete if all conditions are met
 * @param reads the keys to read if a condition is not met
 */
public record Transaction(
        List<Compare> compares, List<Put> puts, List<String> deletes, List<String> reads) {

    /** Makes defensive copies of the lists. */
    public Transaction {
        compares = List.copyOf(compares);
        puts = List.copyOf(puts);
        deletes = List.copyOf(deletes);
        reads = List.copyOf(reads);
    }

    /** Returns a builder for a transaction without conditions or operations. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Requires that a key was last changed at a store revision; 0 requires that the key does not
     * exist.
     *
     * @param key the key
     * @param modRevision the expected store revision
     */
    public record Compare(String key, long modRevision) {}

    /**
     * Writes a value to a key.
     *
     * @param key the key
     * @param value the value as text
     * @param lease the id of the lease whose end deletes the key; 0 for none
     */
    public record Put(String key, String value, long lease) {}

    /** Builds a transaction. */
    public static final class Builder {

        private static final long NO_LEASE = 0;

        private final List<Compare> mCompares = new ArrayList<>();
        private final List<Put> mPuts = new ArrayList<>();
        private final List<String> mDeletes = new ArrayList<>();
        private final List<String> mReads = new ArrayList<>();

        private Builder() {}

        /**
         * Requires that the key was last changed at the store revision; 0 requires that the key
         * does not exist.
         */
        public Builder ifUnchanged(String key, long modRevision) {
            mCompares.add(new Compare(key, modRevision));
            return this;
        }

        /** Writes a value if the conditions are met. */
        public Builder put(String key, String value) {
            return put(key, value, NO_LEASE);
        }

        /**
         * Writes a value if the conditions are met; the store deletes the key when the lease ends.
         */
        public Builder put(String key, String value, long lease) {
            mPuts.add(new Put(key, value, lease));
            return this;
        }

        /** Deletes a key if the conditions are met. */
        public Builder delete(String key) {
            mDeletes.add(key);
            return this;
        }

        /** Reads a key if a condition is not met. */
        public Builder readOnConflict(String key) {
            mReads.add(key);
            return this;
        }

        /** Returns the transaction. */
        public Transaction build() {
            return new Transaction(mCompares, mPuts, mDeletes, mReads);
        }
    }
}
