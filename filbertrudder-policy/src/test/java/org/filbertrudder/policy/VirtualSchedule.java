package org.filbertrudder.policy;

import java.util.PriorityQueue;

/**
 * Runs actions on a virtual clock, those of the same time in the order in which they were added.
 */
public final class VirtualSchedule {

    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private long mNowMs;
    private long mSequence;

    private record Event(long atMs, long sequence, Runnable action) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            return atMs != other.atMs
                    ? Long.compare(atMs, other.atMs)
                    : Long.compare(sequence, other.sequence);
        }
    }

    /** Returns the virtual time, in milliseconds. */
    public long nowMs() {
        return mNowMs;
    }

    /** Adds an action that runs at a time. */
    public void add(long atMs, Runnable action) {
        mEvents.add(new Event(atMs, mSequence++, action));
    }

    /** Runs the actions up to and including a time. */
    public void run(long untilMs) {
        while (!mEvents.isEmpty() && mEvents.peek().atMs() <= untilMs) {
            Event event = mEvents.poll();
            mNowMs = event.atMs();
            event.action().run();
        }
    }
}
