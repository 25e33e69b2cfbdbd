package org.filbertrudder.measure;

/** Measures the heap in use. */
final class HeapGauge {

    private static final int COLLECTIONS = 4;

    private HeapGauge() {}

    /** Returns the bytes in use after garbage collection. */
    static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
