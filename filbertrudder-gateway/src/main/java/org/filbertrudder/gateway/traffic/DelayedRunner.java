package org.filbertrudder.gateway.traffic;

/** Runs actions on the event loop after a delay. */
@FunctionalInterface
interface DelayedRunner {

    /** Runs the action once after the delay, in milliseconds. */
    void runAfter(long delayMs, Runnable action);
}
