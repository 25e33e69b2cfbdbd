package org.filbertrudder.measure;

/** Suspends the current thread between the steps of an experiment. */
final class Pause {

    private Pause() {}

    /** Sleeps for the given time in milliseconds; an interrupt ends it early. */
    static void sleepMs(long durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
