package org.filbertrudder.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a region; ids are ordered by their text.
 *
 * @param value the identifier as written in the inventory
 */
public record RegionId(@JsonValue String value) implements Comparable<RegionId> {

    /** Rejects a malformed identifier with an {@link InvalidValueException}. */
    public RegionId {
        Identifiers.requireValid("region", value);
    }

    /** Returns the identifier with the given value. */
    @JsonCreator
    public static RegionId of(String value) {
        return new RegionId(value);
    }

    @Override
    public int compareTo(RegionId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
