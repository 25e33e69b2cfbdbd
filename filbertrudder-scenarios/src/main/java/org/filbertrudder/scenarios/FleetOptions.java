package org.filbertrudder.scenarios;

/**
 * Holds what differs between fleets of the same deployment.
 *
 * @param instances the number of entry instances
 * @param tokensPerSecond the tokens that an engine writes a second for each request
 * @param slots the number of requests that an engine runs at once
 */
public record FleetOptions(int instances, int tokensPerSecond, int slots) {

    private static final int TOKENS_PER_SECOND = 100;
    private static final int SLOTS = 8;

    /** Returns the usual engines behind a number of instances. */
    public static FleetOptions of(int instances) {
        return new FleetOptions(instances, TOKENS_PER_SECOND, SLOTS);
    }
}
