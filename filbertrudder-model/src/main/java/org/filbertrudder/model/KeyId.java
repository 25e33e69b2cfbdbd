package org.filbertrudder.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies an API key by its public part; ids are ordered by their text.
 *
 * @param value the public part of the key
 */
public record KeyId(@JsonValue String value) implements Comparable<KeyId> {

    /** Rejects a malformed identifier with an {@link InvalidValueException}. */
    public KeyId {
        Identifiers.requireValid("key", value);
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
