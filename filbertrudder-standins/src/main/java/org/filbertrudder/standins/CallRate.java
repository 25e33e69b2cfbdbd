package org.filbertrudder.standins;

import io.vertx.core.json.JsonArray;
import java.util.Map;
import java.util.TreeMap;

/** Counts the calls of each second, answered or not. */
final class CallRate {

    private static final int MS_PER_SECOND = 1_000;

    private final Map<Long, Integer> mCalls = new TreeMap<>();

    void count() {
        mCalls.merge(System.currentTimeMillis() / MS_PER_SECOND, 1, Integer::sum);
    }

    /** Returns pairs of a second since the epoch and the calls in it. */
    JsonArray perSecond() {
        JsonArray rates = new JsonArray();
        mCalls.forEach((second, calls) -> rates.add(new JsonArray().add(second).add(calls)));
        return rates;
    }
}
