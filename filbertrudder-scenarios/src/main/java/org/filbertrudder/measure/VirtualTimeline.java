package org.filbertrudder.measure;

import java.util.PriorityQueue;

/**
 * Runs actions on a virtual clock, those of the same time in the order in which they were added.
 */
final class VirtualTimeline {

    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private double mNowMs;
    private long mSequence;

    double nowMs() {
        return mNowMs;
    }

    void add(double atMs, Runnable action) {
        mEvents.add(new Event(atMs, mSequence++, action));
    }

    /** Runs the actions up to and including a time. */
    void run(double untilMs) {
        while (!mEvents.isEmpty() && mEvents.peek().atMs() <= untilMs) {
            Event event = mEvents.poll();
            mNowMs = event.atMs();
            event.action().run();
        }
    }

    private record Event(double atMs, long sequence, Runnable action) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
