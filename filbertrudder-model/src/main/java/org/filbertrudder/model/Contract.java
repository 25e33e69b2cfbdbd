package org.filbertrudder.model;

/**
 * States how many tokens a client account may consume over all instances together.
 *
 * @param ratePerSecond tokens per second in the long run
 * @param burst tokens that may be consumed at once on top of the rate
 */
public record Contract(double ratePerSecond, double burst) {

    /** Returns a contract with the given rate in tokens per second and burst in tokens. */
    public static Contract of(double ratePerSecond, double burst) {
        return new Contract(ratePerSecond, burst);
    }

    /** Returns this contract with rate and burst multiplied by a fraction. */
    public Contract scale(double fraction) {
        return new Contract(ratePerSecond * fraction, burst * fraction);
    }
}
