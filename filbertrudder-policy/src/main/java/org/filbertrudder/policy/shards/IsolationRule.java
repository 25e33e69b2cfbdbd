package org.filbertrudder.policy.shards;

/**
 * Decides when a holder must stop granting because other instances may be taking its shards over.
 *
 * <p>Other instances may consider a holder dead if no member answers its heartbeats and the live
 * list does not contain it. The holder stops well before {@link OwnerTerminationRule} permits a
 * takeover. A holder without peers in its region continues to grant, as no instance there could
 * take over and its callers need it.
 */
public final class IsolationRule {

    /** How long a holder continues to grant without any contact, in milliseconds. */
    public static final long ISOLATED_AFTER_MS = 5_000;

    private IsolationRule() {}

    /**
     * Returns whether the holder must stop granting.
     *
     * @param hasPeers whether the region has other members that have not announced that they leave
     * @param answeredMs when a member last answered a heartbeat
     * @param listedMs when the live list last contained this instance
     * @param nowMs the present time; all in milliseconds by the same clock
     */
    public static boolean isIsolated(boolean hasPeers, long answeredMs, long listedMs, long nowMs) {
        return hasPeers && nowMs - Math.max(answeredMs, listedMs) > ISOLATED_AFTER_MS;
    }
}
