package org.filbertrudder.policy.orders;

/**
 * Lease that permits an instance to send orders to engines.
 *
 * <p>The term counts from the time before the request to the store, by a clock that continues while
 * the process is paused, so that a sender that resumes late sends no order under its expired lease.
 *
 * @param fence the fencing token, which increases with each new holder
 * @param validUntilMs when the lease ends at the latest, in milliseconds by the sender's clock
 */
public record OrderLease(long fence, long validUntilMs) {

    /** Time reserved for the delivery of an order before the lease ends. */
    private static final long MAX_DELIVERY_MS = 2_000;

    /** Returns whether the lease outlasts the delivery of an order that is sent now. */
    public boolean allowsOrder(long nowMs) {
        return nowMs + MAX_DELIVERY_MS < validUntilMs;
    }

    /** Returns whether the lease has certainly ended. */
    public boolean isExpired(long nowMs) {
        return nowMs >= validUntilMs;
    }

    /**
     * Returns the lease after a renewal that was requested at the given time; it never shortens.
     */
    public OrderLease renewed(long requestedMs, long termMs) {
        return new OrderLease(fence, Math.max(validUntilMs, requestedMs + termMs));
    }
}
