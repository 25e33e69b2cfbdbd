package org.filbertrudder.gateway;

/**
 * Holds the time limits and retry budgets that the deployment requires.
 *
 * @param keyWithdrawalMs the time within which a withdrawn API key must be refused, in milliseconds
 * @param configurationMs the time within which a change of the configuration must be in force, in
 *     milliseconds
 * @param endpointLeaveMs the time within which an endpoint that leaves must get its last request,
 *     in milliseconds
 * @param endpointHeartbeatMs the interval at which endpoints renew their registrations, in
 *     milliseconds
 * @param graceMs the time for a shutdown until the process is killed, in milliseconds
 * @param retryShare the proportion of a service's requests that may be retried, from 0 to 1
 * @param retryExtra the retries per ten seconds, for all instances together, allowed in addition to
 *     the share
 */
public record BoundSettings(
        long keyWithdrawalMs,
        long configurationMs,
        long endpointLeaveMs,
        long endpointHeartbeatMs,
        long graceMs,
        double retryShare,
        double retryExtra) {}
