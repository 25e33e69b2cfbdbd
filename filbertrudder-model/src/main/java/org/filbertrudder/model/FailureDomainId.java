package org.filbertrudder.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a failure domain; ids are ordered by their text.
 *
 * @param value the identifier as written in the inventory
 */
public record FailureDomainId(@JsonValue String value) implements Comparable<FailureDomainId> {

    /** Rejects a malformed identifier with an {@link InvalidValueException}. */
    public FailureDomainId {
        Identifiers.requireValid("failure domain", value);
    }

    /** Returns the identifier with the given value. */
    @JsonCreator
    public static FailureDomainId of(String value) {
        return new FailureDomainId(value);
    }

    @Override
    public int compareTo(FailureDomainId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
