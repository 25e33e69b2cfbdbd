package org.filbertrudder.policy.membership;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.Member;

/** Collects updates that are to be flooded, and delays them while many members change. */
final class UpdateBatch {

    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    /** More changes than this within the window count as an update storm. */
    private static final int MAX_CHANGES_IN_WINDOW = 8;

    private static final long CHANGE_WINDOW_MS = 1_000;

    /** Milliseconds between two floods in an update storm; updates in between are batched. */
    private static final long FLOOD_INTERVAL_MS = 200;

    private final Map<InstanceId, Member> mPending = new TreeMap<>();
    private long mLastFloodMs = NEVER_MS;
    private long mWindowStartMs = NEVER_MS;
    private int mChangesInWindow;

    void add(Collection<Member> updates) {
        updates.forEach(member -> mPending.put(member.id(), member));
    }

    /** Returns whether the interval between two floods has passed. */
    boolean isIntervalOver(long nowMs) {
        return nowMs - mLastFloodMs >= FLOOD_INTERVAL_MS;
    }

    /** Returns whether many members have changed recently, as when all of them start. */
    boolean isStorm(long nowMs) {
        return nowMs - mWindowStartMs < CHANGE_WINDOW_MS
                && mChangesInWindow > MAX_CHANGES_IN_WINDOW;
    }

    void countChange(long nowMs) {
        if (nowMs - mWindowStartMs >= CHANGE_WINDOW_MS) {
            mWindowStartMs = nowMs;
            mChangesInWindow = 0;
        }
        mChangesInWindow++;
    }

    /** Removes and returns the updates to flood now, in the order of their ids. */
    List<Member> take(long nowMs) {
        if (mPending.isEmpty()) {
            return List.of();
        }
        mLastFloodMs = nowMs;
        List<Member> updates = List.copyOf(mPending.values());
        mPending.clear();
        return updates;
    }
}
