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
    private double mOffset;
    private long mSequence;

    /** Records the present headroom and returns its sequence number. */
    long record(double headroom) {
        mSequence++;
        double stored = headroom - mOffset;
        while (!mEntries.isEmpty() && last().headroom() >= stored) {
            mEntries.remove(mEntries.size() - 1);
        }
        mEntries.add(new Entry(mSequence, stored));
        if (mEntries.size() > MAX_ENTRIES) {
            compact();
        }
        return mSequence;
    }

    /** Returns the least headroom recorded after the sequence number. */
    double minimumAfter(long sequence) {
        for (Entry entry : mEntries) {
            if (entry.sequence() > sequence) {
                return entry.headroom() + mOffset;
            }
        }
        return 0;
    }

    /** Lowers every recorded headroom by the amount. */
    void reduceAll(double amount) {
        mOffset -= amount;
    }

    void clear() {
        mEntries.clear();
        mOffset = 0;
    }

    private Entry last() {
        return mEntries.get(mEntries.size() - 1);
    }

    /** Merges neighbours; the lower headroom stands for both, which only makes refunds smaller. */
    private void compact() {
        List<Entry> merged = new ArrayList<>();
        for (int i = 0; i + 1 < mEntries.size(); i += 2) {
            merged.add(new Entry(mEntries.get(i + 1).sequence(), mEntries.get(i).headroom()));
        }
        if (mEntries.size() % 2 == 1) {
            merged.add(last());
        }
        mEntries.clear();
        mEntries.addAll(merged);
    }

    private record Entry(long sequence, double headroom) {}
}
