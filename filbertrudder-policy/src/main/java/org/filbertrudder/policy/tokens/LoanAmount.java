package org.filbertrudder.policy.tokens;

/**
 * Amount of a loan that is requested or granted.
 *
 * @param ratePerSecond the refill rate, in tokens per second
 * @param tokens the tokens, by which the capacity of the borrower's bucket grows as well
 */
record LoanAmount(double ratePerSecond, double tokens) {}
