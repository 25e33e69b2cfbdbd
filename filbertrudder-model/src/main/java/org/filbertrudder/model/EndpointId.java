package org.filbertrudder.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies an endpoint; ids are ordered by their text.
 *
 * @param value the identifier as written in the inventory
 */
public record EndpointId(@JsonValue String value) implements Comparable<EndpointId> {

    /** Rejects a malformed identifier with an {@link InvalidValueException}. */
    public EndpointId {
        Identifiers.requireValid("endpoint", value);
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
