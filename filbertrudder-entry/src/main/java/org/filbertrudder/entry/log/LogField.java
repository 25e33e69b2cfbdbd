package org.filbertrudder.entry.log;

/**
 * Represents a named value of a log line.
 *
 * @param name the field's name
 * @param value the field's value
 */
public record LogField(String name, Object value) {

    /** Returns a field with the given name and value. */
    public static LogField of(String name, Object value) {
        return new LogField(name, value);
    }
}
