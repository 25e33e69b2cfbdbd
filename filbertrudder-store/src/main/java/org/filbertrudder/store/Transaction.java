package org.filbertrudder.store;

import java.util.ArrayList;
import java.util.List;

/**
 * Describes writes that take effect together if all compared keys are unchanged.
 *
 * @param compares the conditions
 * @param puts the values to write if all conditions hold
 * @param deletes the keys to delete if all conditions hold
 * @param reads the keys to read if a condition does not hold
 */
public record Transaction(
        List<Compare> compares, List<Put> puts, List<String> deletes, List<String> reads) {

    /** Copies the lists. */
    public Transaction {
        compares = List.copyOf(compares);
        puts = List.copyOf(puts);
        deletes = List.copyOf(deletes);
        reads = List.copyOf(reads);
    }

    /** Starts to describe a transaction. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Requires that a key was last changed at a store revision; 0 means that it does not exist.
     *
     * @param key the key
     * @param modRevision the expected store revision
     */
    public record Compare(String key, long modRevision) {}

    /**
     * Writes a value.
     *
     * @param key the key
     * @param value the value as text
     * @param lease the lease that the key ends with; 0 for none
     */
    public record Put(String key, String value, long lease) {}

    /** Collects the parts of a transaction. */
    public static final class Builder {

        private static final long NO_LEASE = 0;

        private final List<Compare> mCompares = new ArrayList<>();
        private final List<Put> mPuts = new ArrayList<>();
        private final List<String> mDeletes = new ArrayList<>();
        private final List<String> mReads = new ArrayList<>();

        private Builder() {}

        /** Requires the last change of a key, 0 for a key that does not exist. */
        public Builder ifUnchanged(String key, long modRevision) {
            mCompares.add(new Compare(key, modRevision));
            return this;
        }

        /** Writes a value. */
        public Builder put(String key, String value) {
            return put(key, value, NO_LEASE);
        }

        /** Writes a value that the store deletes when the lease ends. */
        public Builder put(String key, String value, long lease) {
            mPuts.add(new Put(key, value, lease));
            return this;
        }

        /** Deletes a key. */
        public Builder delete(String key) {
            mDeletes.add(key);
            return this;
        }

        /** Reads a key if the conditions do not hold. */
        public Builder orRead(String key) {
            mReads.add(key);
            return this;
        }

        /** Returns the transaction. */
        public Transaction build() {
            return new Transaction(mCompares, mPuts, mDeletes, mReads);
        }
    }
}
