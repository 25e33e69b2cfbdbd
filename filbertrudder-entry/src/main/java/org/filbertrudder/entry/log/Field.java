package org.filbertrudder.entry.log;

/**
 * Represents a named value of a log line.
 *
 * @param name the field's name
 * @param value the field's value
 */
public record Field(String name, Object value) {

    /** Returns a field with the given name and value. */
    public static Field of(String name, Object value) {
        return new Field(name, value);
    }
}
