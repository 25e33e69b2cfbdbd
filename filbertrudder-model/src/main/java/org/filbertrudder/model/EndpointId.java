package org.filbertrudder.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one endpoint.
 *
 * @param value the identifier as written in the inventory
 */
public record EndpointId(@JsonValue String value) implements Comparable<EndpointId> {

    /** Checks the form of the identifier. */
    public EndpointId {
        Identifiers.check("endpoint", value);
    }

    /** Returns the identifier with the given value. */
    @JsonCreator
    public static EndpointId of(String value) {
        return new EndpointId(value);
    }

    @Override
    public int compareTo(EndpointId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
