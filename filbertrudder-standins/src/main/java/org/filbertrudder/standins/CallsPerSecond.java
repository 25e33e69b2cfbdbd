package org.filbertrudder.standins;

import io.vertx.core.json.JsonArray;
import java.util.Map;
import java.util.TreeMap;

/** Counts the calls to the store in each second, whether answered or not. */
final class CallsPerSecond {

    private static final int MS_PER_SECOND = 1_000;

    private final Map<Long, Integer> mCallsBySecond = new TreeMap<>();

    void count() {
        mCallsBySecond.merge(System.currentTimeMillis() / MS_PER_SECOND, 1, Integer::sum);
    }

    /** Returns pairs of the second since the epoch and the number of calls in this second. */
    JsonArray toJson() {
        JsonArray counts = new JsonArray();
        mCallsBySecond.forEach(
                (second, calls) -> counts.add(new JsonArray().add(second).add(calls)));
        return counts;
    }
}
