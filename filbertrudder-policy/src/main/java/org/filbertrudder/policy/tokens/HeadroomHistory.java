package org.filbertrudder.policy.tokens;

import java.util.ArrayList;
import java.util.List;

/**
 * Records the headroom of a bucket and returns its minimum since a past record.
 *
 * <p>The headroom is the capacity minus the level. Only the suffix minima of the recorded values
 * are kept, so a query is a search in a short list.
 */
final class HeadroomHistory {

    private static final int MAX_ENTRIES = 128;

    private final List<Entry> mEntries = new ArrayList<>();
    private long mSequence;

    /** Adds the present headroom and returns its sequence number. */
    long record(double headroom) {
        mSequence++;
        removeDominatedBefore(mEntries.size(), headroom);
        mEntries.add(new Entry(mSequence, headroom));
        if (mEntries.size() > MAX_ENTRIES) {
            compact();
        }
        return mSequence;
    }

    /** Removes the entries directly before the index whose headroom is not below the given one. */
    private void removeDominatedBefore(int index, double headroom) {
        int first = index;
        while (first > 0 && mEntries.get(first - 1).headroom() >= headroom) {
            first--;
        }
        mEntries.subList(first, index).clear();
    }

    /** Returns the least headroom recorded after the sequence number; 0 if none was recorded. */
    double minimumAfter(long sequence) {
        int first = indexAfter(sequence);
        return first < mEntries.size() ? mEntries.get(first).headroom() : 0;
    }

    /**
     * Lowers all headroom recorded after the sequence number by a refunded amount.
     *
     * <p>With the refunded tokens left in the bucket, its level would have been higher since the
     * reservation was made, but not before.
     */
    void reduceAfter(long sequence, double amount) {
        int first = indexAfter(sequence);
        for (int i = first; i < mEntries.size(); i++) {
            Entry entry = mEntries.get(i);
            mEntries.set(i, new Entry(entry.sequence(), entry.headroom() - amount));
        }
        if (first < mEntries.size()) {
            removeDominatedBefore(first, mEntries.get(first).headroom());
        }
    }

    private int indexAfter(long sequence) {
        int first = mEntries.size();
        while (first > 0 && mEntries.get(first - 1).sequence() > sequence) {
            first--;
        }
        return first;
    }

    void clear() {
        mEntries.clear();
    }

    /** Merges adjacent entries; keeping the lower headroom of a pair can only reduce refunds. */
    private void compact() {
        List<Entry> merged = new ArrayList<>();
        for (int i = 0; i + 1 < mEntries.size(); i += 2) {
            merged.add(new Entry(mEntries.get(i + 1).sequence(), mEntries.get(i).headroom()));
        }
        if (mEntries.size() % 2 == 1) {
            merged.add(mEntries.get(mEntries.size() - 1));
        }
        mEntries.clear();
        mEntries.addAll(merged);
    }

    private record Entry(long sequence, double headroom) {}
}
