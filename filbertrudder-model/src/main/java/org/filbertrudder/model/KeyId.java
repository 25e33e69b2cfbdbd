package org.filbertrudder.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one key.
 *
 * @param value the identifier as written in the inventory
 */
public record KeyId(@JsonValue String value) implements Comparable<KeyId> {

    /** Checks the form of the identifier. */
    public KeyId {
        Identifiers.check("key", value);
    }

    /** Returns the identifier with the given value. */
    @JsonCreator
    public static KeyId of(String value) {
        return new KeyId(value);
    }

    @Override
    public int compareTo(KeyId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
