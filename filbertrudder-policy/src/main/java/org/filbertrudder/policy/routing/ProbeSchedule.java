package org.filbertrudder.policy.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.filbertrudder.model.EndpointId;

/**
 * Decides when to probe endpoints after hints that they may have stopped.
 *
 * <p>A process that ends may accept a connection for a moment after it has closed the others.
 * Therefore, an endpoint is probed once more when an interval has passed since the last hint.
 */
public final class ProbeSchedule {

    private final long mIntervalMs;
    private final Map<EndpointId, Entry> mEntries = new HashMap<>();

    /**
     * Creates a schedule without hints.
     *
     * @param intervalMs the minimum time between two probes of an endpoint, in milliseconds
     */
    public ProbeSchedule(long intervalMs) {
        mIntervalMs = intervalMs;
    }

    /** Records a hint; returns whether to probe the endpoint at once. */
    public boolean noteHint(EndpointId endpoint, long nowMs) {
        Entry entry = mEntries.get(endpoint);
        if (entry == null) {
            mEntries.put(endpoint, new Entry(nowMs));
            return true;
        }
        entry.mHintMs = nowMs;
        return false;
    }

    /** Returns the endpoints to probe now. */
    public List<EndpointId> takeDue(long nowMs) {
        List<EndpointId> due = new ArrayList<>();
        Iterator<Map.Entry<EndpointId, Entry>> entries = mEntries.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<EndpointId, Entry> next = entries.next();
            Entry entry = next.getValue();
            if (nowMs < entry.mProbeMs + mIntervalMs) {
                continue;
            }
            if (entry.mProbeMs >= entry.mHintMs + mIntervalMs) {
                entries.remove();
            } else {
                entry.mProbeMs = nowMs;
                due.add(next.getKey());
            }
        }
        return due;
    }

    /** The times of the last hint and the last probe. */
    private static final class Entry {

        private long mHintMs;
        private long mProbeMs;

        Entry(long nowMs) {
            mHintMs = nowMs;
            mProbeMs = nowMs;
        }
    }
}
