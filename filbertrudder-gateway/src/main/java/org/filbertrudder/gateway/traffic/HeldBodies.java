package org.filbertrudder.gateway.traffic;

/** Bounds the bytes of all request bodies that an instance holds at the same time. */
final class HeldBodies {

    /**
     * The share of the heap that bodies may fill; each may be copied for its connection and for an
     * attempt in another region.
     */
    private static final int HEAP_PARTS = 6;

    private final long mMaxBytes;
    private long mHeldBytes;

    /** Creates a bound in bytes. */
    HeldBodies(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Creates a bound that leaves most of the heap of this process to other data. */
    static HeldBodies forHeap() {
        return new HeldBodies(Runtime.getRuntime().maxMemory() / HEAP_PARTS);
    }

    /** Holds further bytes; returns false, and holds none of them, if that exceeds the bound. */
    boolean tryHold(long bytes) {
        if (bytes > mMaxBytes - mHeldBytes) {
            return false;
        }
        mHeldBytes += bytes;
        return true;
    }

    /** Releases bytes that were held. */
    void release(long bytes) {
        mHeldBytes -= bytes;
    }

    /** Returns the number of bytes held. */
    long heldBytes() {
        return mHeldBytes;
    }
}
