package org.filbertrudder.policy.tokens;

import java.util.ArrayList;
import java.util.List;

/**
 * Answers how close a bucket has come to its capacity since a moment in the past.
 *
 * <p>Keeps the suffix minima of the recorded headroom, so a query is a search in a short list.
 */
final class HeadroomHistory {

    private static final int MAX_ENTRIES = 128;

    private final List<Entry> mEntries = new ArrayList<>();
    private long mSequence;

    /** Records the present headroom and returns its sequence number. */
    long record(double headroom) {
        mSequence++;
        dropFrom(mEntries.size(), headroom);
        mEntries.add(new Entry(mSequence, headroom));
        if (mEntries.size() > MAX_ENTRIES) {
            compact();
        }
        return mSequence;
    }

    /** Drops the entries before an index that are not below the headroom at that index. */
    private void dropFrom(int index, double headroom) {
        int first = index;
        while (first > 0 && mEntries.get(first - 1).headroom() >= headroom) {
            first--;
        }
        mEntries.subList(first, index).clear();
    }

    /** Returns the least headroom recorded after the sequence number. */
    double minimumAfter(long sequence) {
        int first = firstAfter(sequence);
        return first < mEntries.size() ? mEntries.get(first).headroom() : 0;
    }

    /**
     * Lowers the headroom recorded after the sequence number by the amount.
     *
     * <p>A refund raises the level that the bucket would have had since the refunded reservation
     * was made, but not before.
     */
    void reduceAfter(long sequence, double amount) {
        int first = firstAfter(sequence);
        for (int i = first; i < mEntries.size(); i++) {
            Entry entry = mEntries.get(i);
            mEntries.set(i, new Entry(entry.sequence(), entry.headroom() - amount));
        }
        if (first < mEntries.size()) {
            dropFrom(first, mEntries.get(first).headroom());
        }
    }

    private int firstAfter(long sequence) {
        int first = mEntries.size();
        while (first > 0 && mEntries.get(first - 1).sequence() > sequence) {
            first--;
        }
        return first;
    }

    void clear() {
        mEntries.clear();
    }

    /** Merges neighbours; the lower headroom stands for both, which only makes refunds smaller. */
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
