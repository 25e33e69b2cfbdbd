package org.filbertrudder.standins.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** Records when requests arrived at a replica. */
public final class ArrivalLog {

    private final List<Arrival> mArrivals = new ArrayList<>();

    /**
     * Records the arrival of a request.
     *
     * @param requestId the id of the request
     * @param atMs when it arrived, in milliseconds of the JVM's monotonic clock
     */
    public record Arrival(String requestId, long atMs) {}

    /** Returns the current time of the clock that arrivals are recorded with, in milliseconds. */
    public static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Waits until a time of the clock that arrivals are recorded with, in milliseconds. */
    public static void sleepUntil(long timeMs) {
        try {
            Thread.sleep(Math.max(0, timeMs - nowMs()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    synchronized void add(String requestId) {
        mArrivals.add(new Arrival(requestId, nowMs()));
    }

    /** Returns all arrivals in the order of time. */
    public synchronized List<Arrival> all() {
        return List.copyOf(mArrivals);
    }

    /** Returns the number of requests that arrived at or after a time. */
    public int countSince(long fromMs) {
        return (int) all().stream().filter(arrival -> arrival.atMs() >= fromMs).count();
    }

    /**
     * Returns the largest number of requests that arrived within any window of the given length.
     *
     * @param fromMs the earliest start of a window
     * @param counted tells which arrivals count
     */
    public int maxWithin(long windowMs, long fromMs, Predicate<Arrival> counted) {
        List<Arrival> arrivals =
                all().stream().filter(each -> each.atMs() >= fromMs).filter(counted).toList();
        int max = 0;
        int first = 0;
        for (int last = 0; last < arrivals.size(); last++) {
            while (arrivals.get(last).atMs() - arrivals.get(first).atMs() >= windowMs) {
                first++;
            }
            max = Math.max(max, last - first + 1);
        }
        return max;
    }
}
