package org.filbertrudder.policy.tokens;

/**
 * Names an amount that is asked for or lent.
 *
 * @param ratePerSecond tokens per second
 * @param tokens tokens and capacity
 */
record LoanNeed(double ratePerSecond, double tokens) {}
