package org.filbertrudder.measure;

/** Runs one experiment and returns its figures. */
@FunctionalInterface
interface Experiment {

    /** Runs the experiment; the same seed gives the same decisions. */
    Table run(long seed);
}
