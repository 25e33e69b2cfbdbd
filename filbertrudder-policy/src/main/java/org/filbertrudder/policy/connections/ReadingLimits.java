package org.filbertrudder.policy.connections;

/**
 * Limits how long callers may take.
 *
 * @param headTimeoutMs the time within which the head of a request must arrive, in milliseconds
 * @param idleTimeoutMs the time for which a connection may carry no request, in milliseconds
 */
public record ReadingLimits(long headTimeoutMs, long idleTimeoutMs) {}
