package org.filbertrudder.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a service; ids are ordered by their text.
 *
 * @param value the identifier as written in the inventory
 */
public record ServiceId(@JsonValue String value) implements Comparable<ServiceId> {

    /** Rejects a malformed identifier with an {@link InvalidValueException}. */
    public ServiceId {
        Identifiers.requireValid("service", value);
    }

    /** Returns the identifier with the given value. */
    @JsonCreator
    public static ServiceId of(String value) {
        return new ServiceId(value);
    }

    @Override
    public int compareTo(ServiceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
