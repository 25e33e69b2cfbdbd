package org.filbertrudder.gateway;

/**
 * Holds the time limits and budgets that a deployment demands.
 *
 * @param keyWithdrawalMs how soon a withdrawn key must stop working, in milliseconds
 * @param graceMs how long a stop may take before the process is killed, in milliseconds
 * @param retryShare the share of a service's requests, from 0 to 1, that may be sent once more
 * @param retryExtra the retries in ten seconds that all instances together always have
 */
public record BoundSettings(
        long keyWithdrawalMs, long graceMs, double retryShare, double retryExtra) {}
