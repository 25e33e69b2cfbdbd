package org.filbertrudder.model;

/**
 * Limits the token consumption of a client account, summed over all instances.
 *
 * @param ratePerSecond the sustained rate, in tokens per second
 * @param burst the tokens that may be consumed at once beyond the rate
 */
public record Contract(double ratePerSecond, double burst) {

    /** Returns a contract with the given rate in tokens per second and burst in tokens. */
    public static Contract of(double ratePerSecond, double burst) {
        return new Contract(ratePerSecond, burst);
    }

    /** Returns the contract with rate and burst multiplied by a factor. */
    public Contract scale(double factor) {
        return new Contract(ratePerSecond * factor, burst * factor);
    }
}
