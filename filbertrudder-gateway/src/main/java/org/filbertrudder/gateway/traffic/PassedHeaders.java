package org.filbertrudder.gateway.traffic;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.StringJoiner;

/**
 * Collects the headers to pass on, with the values of equal names joined by commas.
 *
 * <p>Joining strings one by one would copy all values for each line: a head of 15,000 lines with
 * one name took seconds in a small heap.
 */
public final class PassedHeaders {

    private final Map<String, StringJoiner> mValues = new LinkedHashMap<>();

    /** Adds a value to those of a lower-case name. */
    public void add(String name, String value) {
        mValues.computeIfAbsent(name, each -> new StringJoiner(", ")).add(value);
    }

    /** Returns the joined values by name, in the order in which the names were added. */
    public Map<String, String> toMap() {
        Map<String, String> joined = new LinkedHashMap<>();
        mValues.forEach((name, values) -> joined.put(name, values.toString()));
        return joined;
    }
}
