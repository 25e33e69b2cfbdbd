package org.filbertrudder.policy.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** Holds the waiting requests of a service in the order of their keys. */
final class StartQueue {

    private final TreeSet<WaitingStart> mByKey = new TreeSet<>(WaitingStart.BY_KEY);
    private final Map<StartId, WaitingStart> mById = new HashMap<>();

    void add(WaitingStart waiting) {
        mById.put(waiting.id(), waiting);
        mByKey.add(waiting);
    }

    /** Returns the waiting request with the id, or null if there is none. */
    WaitingStart get(StartId id) {
        return mById.get(id);
    }

    void remove(WaitingStart waiting) {
        mById.remove(waiting.id());
        mByKey.remove(waiting);
    }

    /** Returns the requests that meet the condition, in key order. */
    List<WaitingStart> matching(Predicate<WaitingStart> condition) {
        return mByKey.stream().filter(condition).toList();
    }

    /** Returns a copy of the queue in key order. */
    List<WaitingStart> inOrder() {
        return new ArrayList<>(mByKey);
    }

    int size() {
        return mById.size();
    }

    /** Counts the waiting requests by a property of them. */
    <K> Map<K, Integer> countBy(Function<StartRequest, K> property) {
        return mByKey.stream()
                .map(WaitingStart::request)
                .collect(Collectors.toMap(property, request -> 1, Integer::sum));
    }
}
