package org.filbertrudder.measure;

/** Lets time pass in experiments on processes. */
final class Pause {

    private Pause() {}

    /** Waits for a time in milliseconds. */
    static void ms(long durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
