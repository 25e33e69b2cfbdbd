package org.filbertrudder.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a client account; ids are ordered by their text.
 *
 * @param value the identifier as written in the inventory
 */
public record AccountId(@JsonValue String value) implements Comparable<AccountId> {

    /** Rejects a malformed identifier with an {@link InvalidValueException}. */
    public AccountId {
        Identifiers.requireValid("client account", value);
    }

    /** Returns the identifier with the given value. */
    @JsonCreator
    public static AccountId of(String value) {
        return new AccountId(value);
    }

    @Override
    public int compareTo(AccountId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
