package org.filbertrudder.gateway;

/**
 * Holds the time limits and retry budgets that the deployment requires.
 *
 * @param keyWithdrawalMs the time within which a withdrawn API key must be refused, in milliseconds
 * @param graceMs the time for a shutdown until the process is killed, in milliseconds
 * @param retryShare the proportion of a service's requests that may be retried, from 0 to 1
 * @param retryExtra the retries per ten seconds, for all instances together, allowed in addition to
 *     the share
 */
public record BoundSettings(
        long keyWithdrawalMs, long graceMs, double retryShare, double retryExtra) {}
