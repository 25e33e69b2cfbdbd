package org.filbertrudder.policy.orders;

/**
 * Tells whether the giver's lease is certain to outlast the delivery of an order.
 *
 * <p>Counts from the moment before the store was asked, by a clock that goes on while the process
 * is paused, so that a giver that wakes up late sends nothing under its old lease.
 *
 * @param fence the fencing number, higher for each new holder
 * @param validUntilMs when the lease ends at the latest, in milliseconds by the giver's clock
 */
public record OrderLease(long fence, long validUntilMs) {

    private static final long MAX_DELIVERY_MS = 2_000;

    /** Returns whether an order may be sent now. */
    public boolean allowsOrder(long nowMs) {
        return nowMs + MAX_DELIVERY_MS < validUntilMs;
    }

    /** Returns whether the lease has certainly ended. */
    public boolean ended(long nowMs) {
        return nowMs >= validUntilMs;
    }

    /** Returns the lease after a renewal that was asked for at the given time. */
    public OrderLease renewed(long askedMs, long termMs) {
        return new OrderLease(fence, Math.max(validUntilMs, askedMs + termMs));
    }
}
