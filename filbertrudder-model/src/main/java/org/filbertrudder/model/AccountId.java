package org.filbertrudder.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one client account.
 *
 * @param value the identifier as written in the inventory
 */
public record AccountId(@JsonValue String value) implements Comparable<AccountId> {

    /** Checks the form of the identifier. */
    public AccountId {
        Identifiers.check("client account", value);
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
