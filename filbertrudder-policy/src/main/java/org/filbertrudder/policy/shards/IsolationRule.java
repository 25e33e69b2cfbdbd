package org.filbertrudder.policy.shards;

/**
 * Decides when a holder must stop to grant because others may be taking its shards over.
 *
 * <p>A holder that neither gets an answer from any member nor finds itself on the live list may be
 * thought dead. It stops well before {@link GoneRule} lets anybody take over. A holder without
 * peers in its region goes on, as nobody there could take over and its callers need it.
 */
public final class IsolationRule {

    /** How long a holder without any contact goes on, in milliseconds. */
    public static final long ISOLATED_AFTER_MS = 5_000;

    private IsolationRule() {}

    /**
     * Returns whether the holder must stop.
     *
     * @param hasPeers whether the region has other members that have not left
     * @param answeredMs when a member last answered a heartbeat
     * @param listedMs when the live list last showed this instance
     * @param nowMs the present time; all in milliseconds by the same clock
     */
    public static boolean isIsolated(boolean hasPeers, long answeredMs, long listedMs, long nowMs) {
        return hasPeers && nowMs - Math.max(answeredMs, listedMs) > ISOLATED_AFTER_MS;
    }
}
