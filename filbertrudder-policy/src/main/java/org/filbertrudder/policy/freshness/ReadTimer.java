package org.filbertrudder.policy.freshness;

/**
 * Decides when an instance reads state from the store: a relay at its interval, the others while
 * their copy is outdated.
 *
 * <p>The first such read is repeated soon, as its answer may be lost; further ones are rarer, since
 * the platform charges for calls, also refused ones. All times are readings of one steady clock in
 * milliseconds.
 */
public final class ReadTimer {

    /** The interval at which an instance that is not a relay reads the store, in milliseconds. */
    private static final long FALLBACK_INTERVAL_MS = 1_800;

    private final long mRelayIntervalMs;
    private final long mRetryMs;
    private long mNextMs;
    private boolean mIsRepeated;

    /**
     * Creates a timer whose first read is due.
     *
     * @param relayIntervalMs the interval at which a relay reads the store, in milliseconds
     * @param retryMs the time after which a read is repeated, in milliseconds
     */
    public ReadTimer(long relayIntervalMs, long retryMs) {
        mRelayIntervalMs = relayIntervalMs;
        mRetryMs = retryMs;
    }

    /** Returns whether a read is due. */
    public boolean isDue(long nowMs) {
        return nowMs >= mNextMs;
    }

    /** Records that a read begins. */
    public void noteRead(boolean isRelay, boolean isOutdated, long nowMs) {
        boolean isRepeatedSoon = isOutdated && !mIsRepeated && !isRelay;
        mIsRepeated |= isRepeatedSoon;
        long fallbackMs = isRepeatedSoon ? mRetryMs : FALLBACK_INTERVAL_MS;
        mNextMs = nowMs + (isRelay ? mRelayIntervalMs : fallbackMs);
    }

    /** Records that a read has failed. */
    public void noteFailure(boolean isRelay, long nowMs) {
        readBy(nowMs + (isRelay ? mRetryMs : FALLBACK_INTERVAL_MS));
    }

    /** Records that the copy is no longer outdated. */
    public void noteCurrent() {
        mIsRepeated = false;
    }

    /** Advances the next read to a time at the latest. */
    public void readBy(long atMs) {
        mNextMs = Math.min(mNextMs, atMs);
    }
}
