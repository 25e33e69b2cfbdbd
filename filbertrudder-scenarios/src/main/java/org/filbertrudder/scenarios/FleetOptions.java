package org.filbertrudder.scenarios;

import java.util.ArrayList;
import java.util.List;

/**
 * Holds what differs between fleets of the same deployment.
 *
 * @param instances the number of entry instances
 * @param tokensPerSecond the tokens that an engine writes a second for each request
 * @param slots the number of requests that an engine runs at once
 * @param endpointArguments further arguments of the stand-ins for endpoints
 */
public record FleetOptions(
        int instances, int tokensPerSecond, int slots, List<String> endpointArguments) {

    private static final int TOKENS_PER_SECOND = 100;
    private static final int SLOTS = 8;

    /** Returns the usual engines behind a number of instances. */
    public static FleetOptions of(int instances) {
        return new FleetOptions(instances, TOKENS_PER_SECOND, SLOTS, List.of());
    }

    /** Returns the options with engines of another size. */
    public FleetOptions withEngines(int newTokensPerSecond, int newSlots) {
        return new FleetOptions(instances, newTokensPerSecond, newSlots, endpointArguments);
    }

    /** Returns the options with one more argument of the stand-ins for endpoints. */
    public FleetOptions withEndpointArgument(String name, String value) {
        List<String> arguments = new ArrayList<>(endpointArguments);
        arguments.addAll(List.of(name, value));
        return new FleetOptions(instances, tokensPerSecond, slots, List.copyOf(arguments));
    }
}
