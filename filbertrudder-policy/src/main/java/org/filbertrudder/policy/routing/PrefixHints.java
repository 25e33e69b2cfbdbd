package org.filbertrudder.policy.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers which prompt prefixes an endpoint probably has in its cache.
 *
 * <p>Cache events come late and with gaps, so a hint that nothing confirms is dropped after a
 * while. A wrong hint costs one cold prompt.
 */
final class PrefixHints {

    private static final int MAX_PREFIXES = 1_024;
    private static final long LIFETIME_MS = 120_000;

    private final Map<String, Long> mSeenMs = new LinkedHashMap<>(16, 0.75f, true);

    /** Notes that the prefix was used or stored there. */
    void stored(String prefix, long nowMs) {
        mSeenMs.put(prefix, nowMs);
        if (mSeenMs.size() > MAX_PREFIXES) {
            mSeenMs.remove(mSeenMs.keySet().iterator().next());
        }
    }

    /** Notes that the prefix was evicted there. */
    void evicted(String prefix) {
        mSeenMs.remove(prefix);
    }

    /** Forgets everything, as the endpoint has restarted. */
    void clear() {
        mSeenMs.clear();
    }

    /** Returns whether the endpoint probably holds the prefix. */
    boolean contains(String prefix, long nowMs) {
        Long seenMs = mSeenMs.get(prefix);
        return seenMs != null && nowMs - seenMs < LIFETIME_MS;
    }
}
