package org.filbertrudder.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one instance.
 *
 * @param value the identifier as written in the inventory
 */
public record InstanceId(@JsonValue String value) implements Comparable<InstanceId> {

    /** Checks the form of the identifier. */
    public InstanceId {
        Identifiers.check("instance", value);
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
