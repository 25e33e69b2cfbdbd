package org.filbertrudder.policy.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates which prompt prefixes an endpoint has in its cache.
 *
 * <p>Cache events arrive late and some are lost, so a hint expires if it is not confirmed. A wrong
 * hint costs the prefill of one prompt that is not cached.
 */
public final class PrefixCacheHints {

    private static final int MAX_PREFIXES = 1_024;
    private static final long LIFETIME_MS = 120_000;

    private final Map<String, Long> mLastSeenMs = new LinkedHashMap<>(16, 0.75f, true);

    /** Records that the endpoint has used the prefix or stored it in its cache. */
    public void markCached(String prefix, long nowMs) {
        mLastSeenMs.put(prefix, nowMs);
        if (mLastSeenMs.size() > MAX_PREFIXES) {
            mLastSeenMs.remove(mLastSeenMs.keySet().iterator().next());
        }
    }

    /** Records that the endpoint has evicted the prefix from its cache. */
    public void markEvicted(String prefix) {
        mLastSeenMs.remove(prefix);
    }

    /** Drops all hints; a restart of the endpoint empties its cache. */
    public void clear() {
        mLastSeenMs.clear();
    }

    /** Returns the tokens of the shared parts that the endpoint has probably cached. */
    public long cachedTokens(PromptDemand prompt, long nowMs) {
        long cachedTokens = 0;
        for (int i = 0; i < prompt.parts().size() - 1; i++) {
            PromptPart part = prompt.parts().get(i);
            if (!contains(part.id(), nowMs)) {
                break;
            }
            cachedTokens += part.tokens();
        }
        return cachedTokens;
    }

    /** Records that the endpoint has used or stored all shared parts of the prompt. */
    public void markCached(PromptDemand prompt, long nowMs) {
        prompt.sharedParts().forEach(part -> markCached(part.id(), nowMs));
    }

    /** Returns whether the endpoint has probably cached the prefix. */
    public boolean contains(String prefix, long nowMs) {
        Long lastSeenMs = mLastSeenMs.get(prefix);
        return lastSeenMs != null && nowMs - lastSeenMs < LIFETIME_MS;
    }
}
