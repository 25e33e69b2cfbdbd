package org.filbertrudder.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies an instance; ids are ordered by their text.
 *
 * @param value the identifier as text
 */
public record InstanceId(@JsonValue String value) implements Comparable<InstanceId> {

    /** Rejects a malformed identifier with an {@link InvalidValueException}. */
    public InstanceId {
        Identifiers.requireValid("instance", value);
    }

    /** Returns the identifier with the given value. */
    @JsonCreator
    public static InstanceId of(String value) {
        return new InstanceId(value);
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
