package org.filbertrudder.gateway.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/** Keeps for each route how long its longest recent requests took, in milliseconds. */
final class RunTimes {

    /** The part of the difference by which the kept time follows shorter ones. */
    private static final double DECAY = 0.05;

    private final Map<String, Double> mLongestMs = new HashMap<>();

    void record(String route, long durationMs) {
        mLongestMs.merge(
                route,
                (double) durationMs,
                (longest, current) ->
                        current > longest ? current : longest + DECAY * (current - longest));
    }

    /** Returns the time that a request of the route may take; empty if none has run. */
    OptionalLong longestMs(String route) {
        Double longest = mLongestMs.get(route);
        return longest == null ? OptionalLong.empty() : OptionalLong.of(Math.round(longest));
    }
}
