package org.filbertrudder.measure;

/** Runs one measurement or simulation and returns its results. */
@FunctionalInterface
interface Experiment {

    /** Runs the experiment; the same seed gives the same random decisions. */
    Table run(long seed);
}
