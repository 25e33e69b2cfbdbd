package org.filbertrudder.scenarios;

import java.util.ArrayList;
import java.util.List;

/**
 * Holds the options that may differ between fleets of the same deployment.
 *
 * @param instances the number of instances
 * @param tokensPerSecond the tokens per second that an engine generates for each request
 * @param slots the number of requests that an engine runs concurrently
 * @param endpointArguments additional command-line arguments of the endpoint stand-ins
 */
public record FleetOptions(
        int instances, int tokensPerSecond, int slots, List<String> endpointArguments) {

    private static final int DEFAULT_TOKENS_PER_SECOND = 100;
    private static final int DEFAULT_SLOTS = 8;

    /** Returns options with default engines for the given number of instances. */
    public static FleetOptions of(int instances) {
        return new FleetOptions(instances, DEFAULT_TOKENS_PER_SECOND, DEFAULT_SLOTS, List.of());
    }

    /** Returns a copy with another speed and concurrency of the engines. */
    public FleetOptions withEngines(int newTokensPerSecond, int newSlots) {
        return new FleetOptions(instances, newTokensPerSecond, newSlots, endpointArguments);
    }

    /** Returns a copy with an additional command-line argument of the endpoint stand-ins. */
    public FleetOptions withEndpointArgument(String name, String value) {
        List<String> arguments = new ArrayList<>(endpointArguments);
        arguments.addAll(List.of(name, value));
        return new FleetOptions(instances, tokensPerSecond, slots, List.copyOf(arguments));
    }
}
