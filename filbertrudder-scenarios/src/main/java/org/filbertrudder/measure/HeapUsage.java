package org.filbertrudder.measure;

/** Measures the used heap. */
final class HeapUsage {

    private static final int COLLECTIONS = 4;

    private HeapUsage() {}

    /** Returns the used bytes of the heap after garbage collections. */
    static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
