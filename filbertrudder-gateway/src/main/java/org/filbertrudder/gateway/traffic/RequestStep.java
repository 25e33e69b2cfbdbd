package org.filbertrudder.gateway.traffic;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Lists the steps of a request from the arrival of its head until its response has been sent. */
enum RequestStep {
    READING,
    LOOKUP,
    ADMISSION,
    QUEUED,
    SENT,
    ANSWERING,
    FLUSHING;

    /** Returns the number of requests at each step, as text for the log. */
    static String summary(Collection<RequestStep> steps) {
        Map<RequestStep, Long> counts =
                steps.stream()
                        .collect(
                                Collectors.groupingBy(
                                        step -> step, TreeMap::new, Collectors.counting()));
        return counts.entrySet().stream()
                .map(entry -> entry.getKey() + "=" + entry.getValue())
                .collect(Collectors.joining(" "));
    }
}
